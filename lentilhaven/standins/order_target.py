"""
An endpoint that takes orders, checking or ignoring fencing numbers.

Loads read from a shared weight store whose slots are counted, so that a test
can tell how many loaded at once.  Left out: everything else of an engine.
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
    The weight store's rate limit.

    Attributes
    ----------
    load_time : float
        Seconds that a load takes by itself.
    loading : int
        Loads under way; they share the rate.
    most_loading : int
        Most loads that were under way at once.
    """

    load_time: float = 10.0
    loading: int = 0
    most_loading: int = 0

    async def load(self) -> None:
        """Take the time of one load."""
        self.loading += 1
        self.most_loading = max(self.most_loading, self.loading)
        try:
            await asyncio.sleep(self.load_time)
        finally:
            self.loading -= 1


@attrs.define
class OrderTarget:
    """
    State of the stand-in.

    Attributes
    ----------
    endpoint : str
        Its id.
    layers : LayerRange
        The range that it holds.
    version : str
        The version that it holds or loads.
    weights : WeightStore
        Where it loads from.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    phase : Phase
        What it is doing.
    newest : tuple of int
        Highest fencing number and sequence seen.
    accepted : list of EndpointOrder
        Orders that it obeyed.
    refused, stale : int
        Orders refused, and orders obeyed although a newer number was seen.
    in_flight : int
        Requests that it is working on.
    task : asyncio.Task or None
        The load under way.
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

    def obey(self, order: EndpointOrder) -> Result[None, Failure]:
        """
        Take an order; begin to load another version if it names one.

        Parameters
        ----------
        order : EndpointOrder
            The order.
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
        """Load the ordered version, then serve it."""
        await self.weights.load()
        self.phase = Phase.SERVING

    def report(self, wanted: ModelVersion) -> EndpointReport:
        """Return its state beside the wanted version."""
        return EndpointReport(
            self.endpoint, self.layers, self.phase, self.version, wanted, self.in_flight
        )
