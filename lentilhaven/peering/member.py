"""A gateway as others list it."""

import attrs


@attrs.frozen
class Member:
    """
    One gateway.

    Attributes
    ----------
    address : str
        ``IP:PORT`` of its datagrams.
    data_centre : str
        Where it stands; empty if that isn't known.
    capacity : float
        Cores that its process may use.
    """

    address: str
    data_centre: str = ""
    capacity: float = 0.0

    @property
    def order(self) -> tuple[float, str]:
        """Return the key by which all gateways sort members; the first lead."""
        return (-self.capacity, self.address)
