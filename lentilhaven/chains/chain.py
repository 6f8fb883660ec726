"""A sequence of endpoints that runs all layers of a model."""

import attrs

from lentilhaven.core.invariants import ensure
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan


@attrs.frozen
class Chain:
    """
    Endpoints in the order in which a request passes through them.

    Attributes
    ----------
    parts : tuple of (Endpoint, LayerSpan)
        Each endpoint with the layers that it runs, in layer order.
    cost : float
        Estimated time that one request spends on the chain, in ms.
    """

    parts: tuple[tuple[Endpoint, LayerSpan], ...]
    cost: float = 0.0

    @property
    def first(self) -> Endpoint:
        """Return the endpoint that receives the request from the gateway."""
        return self.parts[0][0]

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints in layer order."""
        return tuple(endpoint for endpoint, _ in self.parts)

    def check(self, layer_count: int) -> None:
        """
        Check that every layer is run exactly once and in order.

        Parameters
        ----------
        layer_count : int
            Number of layers of the model.

        Raises
        ------
        InvariantError
            If a layer is skipped, repeated or not held by the endpoint that should
            run it, or if an address occurs twice.

        Examples
        --------
        >>> one = Endpoint("a", "s", "10.0.0.1:80", "z", layers=LayerSpan(0, 4))
        >>> Chain(((one, LayerSpan(0, 4)),)).check(4)
        >>> Chain(((one, LayerSpan(0, 4)),)).check(5)
        Traceback (most recent call last):
            ...
        lentilhaven.core.invariants.InvariantError: layers-covered-once: a=0-4
        """
        description = ",".join(
            f"{part.id}={span.start}-{span.end}" for part, span in self.parts
        )
        next_layer = 0
        for endpoint, span in self.parts:
            held = endpoint.layers
            ensure(
                span.start == next_layer and len(span) > 0,
                "layers-covered-once",
                description,
            )
            ensure(held is not None and held.contains(span), "layers-held", description)
            next_layer = span.end
        ensure(next_layer == layer_count, "layers-covered-once", description)
        ensure(
            len({endpoint.address for endpoint in self.endpoints}) == len(self.parts),
            "endpoint-once-in-chain",
            description,
        )
