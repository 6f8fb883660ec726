"""Which gateways are asked to connect this one to an endpoint."""

from collections.abc import Iterable
from random import Random

import attrs

#: Maximum number of gateways that are asked for one connection.
MAX_RELAYS = 3


@attrs.frozen
class RelayCandidate:
    """
    A gateway that may connect this one to an endpoint.

    Attributes
    ----------
    address : str
        ``IP:PORT`` on which it accepts such requests.
    data_centre : str
        Its data centre; empty if unknown.
    reaches : bool or None
        Whether it says that it can connect to the endpoint; None if it is not known to
        say anything.
    """

    address: str
    data_centre: str
    reaches: bool | None = None


def choose_relays(
    candidates: Iterable[RelayCandidate],
    data_centres: Iterable[str],
    random: Random,
) -> list[str]:
    """
    Return the addresses of the gateways to ask, in order.

    Gateways in the data centre of the endpoint or of this gateway come first, since
    through them no more bytes cross between data centres than without them.  Among
    equals the choice is random: all gateways that are cut off would else ask the same
    one.

    Parameters
    ----------
    candidates : iterable of RelayCandidate
        The other gateways.
    data_centres : iterable of str
        Data centres of the endpoint and of this gateway.
    random : random.Random
        Random number generator.

    Examples
    --------
    >>> found = [
    ...     RelayCandidate("10.0.0.1:7100", "a", reaches=True),
    ...     RelayCandidate("10.0.0.2:7100", "b", reaches=True),
    ...     RelayCandidate("10.0.0.3:7100", "b", reaches=False),
    ... ]
    >>> choose_relays(found, ["b"], Random(1))
    ['10.0.0.2:7100', '10.0.0.1:7100']
    """
    near = set(data_centres)
    usable = [it for it in candidates if it.reaches is not False]
    random.shuffle(usable)
    usable.sort(key=lambda it: (it.reaches is None, it.data_centre not in near))
    return [it.address for it in usable[:MAX_RELAYS]]
