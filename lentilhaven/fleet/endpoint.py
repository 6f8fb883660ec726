"""One replica of a service."""

import attrs
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from lentilhaven.core.converter import CONVERTER
from lentilhaven.fleet.layer_span import LayerSpan


@attrs.frozen
class Endpoint:
    """
    A replica as registered in the platform's store.

    Attributes
    ----------
    id : str
        Identity; a restarted replica may keep it.
    service : str
        Name of the service.
    address : str
        ``IP:PORT``; another replica may reuse it later.
    data_centre : str
        Data centre in which it runs.
    slots : int
        Number of requests that it runs concurrently.
    draining : bool
        Whether it has announced that it is leaving the fleet.
    born : int
        Unix time of its start, in milliseconds; distinguishes its incarnations.
    card : str
        Accelerator type; empty for a plain service.
    layers : LayerSpan or None
        Layers that it holds; None if it holds none.
    model : str
        Name of the model whose layers it holds; empty if it holds none.
    sequence : int
        Number of the heartbeat that wrote the entry, counted from the start of the
        replica.  It is not compared and not passed on to other gateways.
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
    sequence: int = attrs.field(default=0, eq=False)

    @property
    def written_order(self) -> tuple[int, int]:
        """Return a key by which the entries of one replica are ordered in time."""
        return (self.born, self.sequence)

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return a key that differs for every start of the replica."""
        return (self.id, self.born)


CONVERTER.register_structure_hook(
    Endpoint, make_dict_structure_fn(Endpoint, CONVERTER, sequence=override(omit=True))
)
CONVERTER.register_unstructure_hook(
    Endpoint,
    make_dict_unstructure_fn(Endpoint, CONVERTER, sequence=override(omit=True)),
)
