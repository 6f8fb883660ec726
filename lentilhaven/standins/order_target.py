"""
An endpoint that accepts orders to load a version, and may check fencing numbers.

Endpoints load weights from a shared weight store, which counts concurrent loads so
that a test can check their maximum.  Other functions of an engine are not simulated.
"""

import asyncio

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import EndpointId, ModelVersion
from lentilhaven.core.step import Step
from lentilhaven.orders.endpoint_order import EndpointOrder, EndpointReport, Phase
from lentilhaven.tables.layer_range import LayerRange


@attrs.define
class WeightStore:
    """
    Weight store that takes a fixed time per load and counts concurrent loads.

    Attributes
    ----------
    load_time : float
        Duration of a load, in seconds.
    loading : int
        Number of loads in progress.
    max_concurrent_loads : int
        Maximum number of concurrent loads so far.
    """

    load_time: float = 10.0
    loading: int = 0
    max_concurrent_loads: int = 0

    async def load(self) -> None:
        """Wait for the duration of one load, and count it while it is in progress."""
        self.loading += 1
        self.max_concurrent_loads = max(self.max_concurrent_loads, self.loading)
        try:
            await asyncio.sleep(self.load_time)
        finally:
            self.loading -= 1


@attrs.define
class OrderTarget:
    """
    State of one endpoint.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint.
    layers : LayerRange
        Layers that the endpoint holds.
    version : str
        Version that the endpoint holds or loads.
    weights : WeightStore
        Store from which the endpoint loads weights.
    checks_fencing : bool
        Whether orders with an outdated fencing number are refused.
    phase : Phase
        Whether the endpoint serves or loads.
    newest : tuple of int
        Highest pair of fencing number and sequence number accepted.
    accepted : list of EndpointOrder
        Accepted orders, oldest first.
    refused, stale : int
        Number of orders refused, and of orders accepted although a higher fencing
        number had been seen.
    in_flight : int
        Number of requests in flight.
    task : asyncio.Task or None
        Task of the newest load.
    """

    endpoint: EndpointId
    layers: LayerRange
    version: ModelVersion
    weights: WeightStore
    checks_fencing: bool = True
    phase: Phase = Phase.SERVING
    newest: tuple[int, int] = (0, 0)
    accepted: list[EndpointOrder] = attrs.field(factory=list)
    refused: int = 0
    stale: int = 0
    in_flight: int = 0
    task: asyncio.Task | None = None

    def accept_order(self, order: EndpointOrder) -> Result[None, Failure]:
        """
        Accept or refuse an order, and start to load its version if that differs.

        Returns a `Failure` of the kind ``old-fence`` if the fencing number is outdated
        and checked.  An order for another version cancels the load in progress.

        Parameters
        ----------
        order : EndpointOrder
            Order to carry out.
        """
        old = order.fence < self.newest[0]
        if old and self.checks_fencing:
            self.refused += 1
            detail = f"fencing number {order.fence} is below {self.newest[0]}"
            return Error(Failure(Step.ORDER, self.endpoint, "old-fence", detail))
        self.stale += old
        self.newest = max(self.newest, (order.fence, order.sequence))
        self.accepted.append(order)
        if order.version != self.version:
            self.version, self.phase = order.version, Phase.LOADING
            if self.task is not None:
                self.task.cancel()
            self.task = asyncio.create_task(self.load())
        return Ok(None)

    async def load(self) -> None:
        """Load the ordered version, then set the phase to serving."""
        await self.weights.load()
        self.phase = Phase.SERVING

    def report(self, wanted: ModelVersion) -> EndpointReport:
        """Return a report of the state, with `wanted` as the desired version."""
        return EndpointReport(
            self.endpoint, self.layers, self.phase, self.version, wanted, self.in_flight
        )
