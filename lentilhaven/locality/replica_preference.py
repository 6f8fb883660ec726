"""Preference for replicas of plain services in the data centre of the gateway."""

from collections.abc import Callable, Sequence

from lentilhaven.fleet.endpoint import Endpoint

#: Share of a replica's slots up to which it counts as free, so that the requests of
#: its data centre stay there.  Other gateways may have sent it more since they told.
FREE_SLOT_SHARE = 0.7

#: Expected wait up to which such a replica is preferred, as a multiple of the shortest.
#: One that is hung or fails half of its requests is passed over.
LOCAL_WAIT_FACTOR = 3.0


def prefer_local(
    waits: Sequence[tuple[float, Endpoint]],
    own: str,
    count_requests: Callable[[Endpoint], int],
) -> Endpoint:
    """
    Return the replica with the shortest wait, or a free one of the own data centre.

    Parameters
    ----------
    waits : sequence of (float, Endpoint)
        Expected wait at each replica, in seconds; at least one.
    own : str
        Data centre of the gateway.
    count_requests : callable
        Returns how many requests a replica runs, those of other gateways included.

    Examples
    --------
    >>> near, far = (Endpoint(it, "s", it, it, slots=6) for it in ("near", "far"))
    >>> waits = [(0.05, near), (0.02, far)]
    >>> [prefer_local(waits, "near", lambda _, used=it: used).id for it in (4, 5)]
    ['near', 'far']
    """
    shortest, best = min(waits, key=lambda found: found[0])
    if best.data_centre == own:
        return best
    free = [
        (wait, it)
        for wait, it in waits
        if it.data_centre == own
        and wait <= LOCAL_WAIT_FACTOR * shortest
        and count_requests(it) < FREE_SLOT_SHARE * it.slots
    ]
    return min(free, key=lambda found: found[0])[1] if free else best
