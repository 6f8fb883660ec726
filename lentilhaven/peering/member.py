"""The identity of a gateway as other gateways list it."""

import attrs


@attrs.frozen
class Member:
    """
    One gateway.

    Attributes
    ----------
    address : str
        ``IP:PORT`` on which it sends and receives datagrams.
    data_centre : str
        Its data centre; empty if that is not known.
    capacity : float
        Cores that its process may use.
    """

    address: str
    data_centre: str = ""
    capacity: float = 0.0

    @property
    def sort_key(self) -> tuple[float, str]:
        """Return the key by which all gateways sort members, the leaders first."""
        return (-self.capacity, self.address)
