"""What is known of a request in flight."""

import attrs


@attrs.frozen
class RequestRecord:
    """
    A request in flight, for the report of a shutdown.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path, without its query.
    began : float
        Monotonic time at which it came, in seconds.
    """

    method: str
    path: str
    began: float
