"""Which endpoints may get a request beside the limits that they name."""

from collections.abc import Mapping

#: Seconds over which the requests at a limited endpoint are counted.
SENT_WINDOW = 2.0

#: Number of requests in a window, relative to the limit, and number in addition, at
#: which an endpoint gets no more: chance brings more than the mean in one window and
#: fewer in another.
WINDOW_TOLERANCE = 1.25
WINDOW_BURST = 2

#: Bounds of the time after which a caller is told to return, in seconds.
MIN_RETURN_TIME, MAX_RETURN_TIME = 0.25, 10.0


def permitted_endpoints(
    rates: Mapping[str, float], demand: float, position: float, scale: float = 1.0
) -> set[str]:
    """
    Return the limited endpoints to which a request may be sent.

    Each endpoint gets a part of a circle that is its share of the requests, one part
    behind the other.  The parts overlap only if the endpoints together take more than
    all requests.

    Parameters
    ----------
    rates : mapping
        Requests per second that each endpoint takes, by id.
    demand : float
        Requests per second of all gateways for the service, positive.
    position : float
        The request's point on the circle, from 0 to 1: a random number that stays the
        same until the request is sent.
    scale : float
        Factor on all shares (see `fair_fraction`).

    Examples
    --------
    >>> sorted(permitted_endpoints({"e-1": 30.0, "e-2": 30.0}, 40.0, 0.1))
    ['e-1', 'e-2']
    """
    found = set()
    start = 0.0
    for name in sorted(rates):
        share = min(1.0, scale * rates[name] / demand)
        if (position - start) % 1.0 < share:
            found.add(name)
        start += share
    return found


def fair_fraction(counts: Mapping[str, int], workspace: str, fraction: float) -> float:
    """
    Return the fraction of a workspace's requests that may be sent.

    All workspaces get the same number, but none more than it asks for.

    Parameters
    ----------
    counts : mapping
        Number of requests by workspace, that of `workspace` included.
    workspace : str
        Name of the workspace.
    fraction : float
        Fraction of all requests that may be sent.

    Examples
    --------
    >>> counts = {"depot": 90, "office": 10}
    >>> [round(fair_fraction(counts, it, 0.4), 3) for it in counts]
    [0.333, 1.0]
    """
    if fraction >= 1.0:
        return 1.0
    left = fraction * sum(counts.values())
    ordered = sorted(counts.values())
    level = 0.0
    for index, count in enumerate(ordered):
        level = left / (len(ordered) - index)
        if count >= level:
            break
        left -= count
    return min(1.0, level / counts[workspace])


def is_below_limit(sent: int, rate: float) -> bool:
    """
    Return whether an endpoint may get another request in the present window.

    Parameters
    ----------
    sent : int
        Number of requests that all gateways sent it in the last `SENT_WINDOW`.
    rate : float
        Requests per second that it takes.

    Examples
    --------
    >>> [is_below_limit(it, 2.0) for it in (6, 7)]
    [True, False]
    """
    return sent + 1 <= WINDOW_TOLERANCE * SENT_WINDOW * rate + WINDOW_BURST


def time_to_return(rates: Mapping[str, float], demand: float) -> float:
    """
    Return the seconds in which the endpoints take what now comes in one second.

    Parameters
    ----------
    rates : mapping
        Requests per second that each endpoint takes, by id.
    demand : float
        Requests per second of all gateways for the service.

    Examples
    --------
    >>> time_to_return({"e-1": 4.0, "e-2": 6.0}, 25.0), time_to_return({}, 25.0)
    (2.5, 10.0)
    """
    total = sum(rates.values())
    seconds = demand / total if total else MAX_RETURN_TIME
    return min(MAX_RETURN_TIME, max(MIN_RETURN_TIME, seconds))
