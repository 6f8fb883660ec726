"""One replica of a service."""

import attrs

from lentilhaven.fleet.layer_span import LayerSpan


@attrs.frozen
class Endpoint:
    """
    A replica as it has registered itself.

    Attributes
    ----------
    id : str
        Identity; a replica may start again under the same one.
    service : str
        Name of the service.
    address : str
        ``IP:PORT``; may be used again by another replica later.
    data_centre : str
        Where it stands.
    slots : int
        Requests that it runs at a time.
    draining : bool
        Whether it has announced that it leaves.
    born : int
        Unix time of its start, in milliseconds; tells two incarnations apart.
    card : str
        Kind of accelerator; empty for a plain service.
    layers : LayerSpan or None
        Layers that it holds; None if it holds none.
    model : str
        Name of the model whose layers it holds; empty if it holds none.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int = 1
    draining: bool = False
    born: int = 0
    card: str = ""
    layers: LayerSpan | None = None
    model: str = ""

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what tells this start of the replica from any other."""
        return (self.id, self.born)
