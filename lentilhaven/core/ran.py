"""Whether a request was executed."""

import enum


class Ran(enum.Enum):
    """
    What is known about the execution of a request.

    `NO` guarantees that no part of the request was executed.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
