"""Problem documents of `lentilhaven.serving.problems`, re-exported."""

from lentilhaven.serving.problems import (
    bad_request,
    problem_document,
    problem_response,
)

__all__ = ["bad_request", "problem_document", "problem_response"]
