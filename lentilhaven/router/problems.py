"""Problem documents, under the name by which the router's modules know them."""

from lentilhaven.serving.problems import (
    bad_request,
    problem_document,
    problem_response,
)

__all__ = ["bad_request", "problem_document", "problem_response"]
