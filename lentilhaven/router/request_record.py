"""Record of a request in flight."""

import attrs


@attrs.frozen
class RequestRecord:
    """
    Request in flight, as it is logged if a shutdown cuts it off.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        URL path without the query string.
    started_at : float
        Monotonic time at which the handling of the request began, in seconds.
    """

    method: str
    path: str
    started_at: float
