"""A chain of endpoints."""

import attrs

from lentilhaven.core.invariants import ensure
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan


@attrs.frozen
class Chain:
    """
    Endpoints, each with the layers that it runs.

    Attributes
    ----------
    parts : tuple of (Endpoint, LayerSpan)
        In the order of the layers.
    cost : float
        Estimated time of a request, in ms.
    """

    parts: tuple[tuple[Endpoint, LayerSpan], ...]
    cost: float = 0.0

    @property
    def first(self) -> Endpoint:
        """Return the endpoint to which the request is sent."""
        return self.parts[0][0]

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints in the order of the layers."""
        return tuple(endpoint for endpoint, _ in self.parts)

    def check(self, layers: int) -> None:
        """
        Raise unless each layer is run once and in order.

        Parameters
        ----------
        layers : int
            Layers of the model.

        Examples
        --------
        >>> one = Endpoint("a", "s", "10.0.0.1:80", "z", layers=LayerSpan(0, 4))
        >>> Chain(((one, LayerSpan(0, 4)),)).check(4)
        >>> Chain(((one, LayerSpan(0, 4)),)).check(5)
        Traceback (most recent call last):
            ...
        lentilhaven.core.invariants.InvariantError: layers-covered-once: a=0-4
        """
        text = ",".join(
            f"{part.id}={span.start}-{span.end}" for part, span in self.parts
        )
        at = 0
        for endpoint, span in self.parts:
            held = endpoint.layers
            ensure(span.start == at and len(span) > 0, "layers-covered-once", text)
            ensure(held is not None and held.contains(span), "layers-held", text)
            at = span.end
        ensure(at == layers, "layers-covered-once", text)
        ensure(
            len({endpoint.address for endpoint in self.endpoints}) == len(self.parts),
            "endpoint-once-in-chain",
            text,
        )
