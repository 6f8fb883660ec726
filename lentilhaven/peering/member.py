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
        """
        Return the sort key of members: decreasing capacity, then address.

        The leaders of a data centre are its first responsive members in this order,
        which is the same at all gateways.
        """
        return (-self.capacity, self.address)
