"""Whether a request has run."""

import enum


class Ran(enum.Enum):
    """
    What is known about the execution of a request.

    `NO` is a promise: nothing of the request was executed.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
