"""Simulation of all engines and links of a pool."""

from collections import Counter, defaultdict

import attrs

from lentilhaven.core.ids import DataCentre, EndpointId
from lentilhaven.pipelines.endpoint_rate import accelerator_of
from lentilhaven.pipelines.range_group import GroupMember, LinkKey
from lentilhaven.standins.service_model.engine_model import EngineModel
from lentilhaven.standins.service_model.event_queue import EventQueue
from lentilhaven.standins.service_model.link_model import LinkModel
from lentilhaven.standins.service_model.model_stream import ModelStream
from lentilhaven.standins.service_model.work_item import WorkItem
from lentilhaven.tables.pool import Pool

#: Rate of a link without a limit in the tables, in activations per second.
UNLIMITED_RATE = 1e9


@attrs.define(eq=False)
class Cluster:
    """
    Engines and links that serve streams in virtual time.

    Attributes
    ----------
    pool : Pool
        Pool whose engines and links are simulated.
    events : EventQueue
        Event queue of the virtual time.
    client_latency : float
        One-way latency in seconds before a stream reaches its first stage, and before
        a token or a loss reaches the router.
    engines : dict
        `EngineModel` by endpoint id.
    links : dict
        `LinkModel` by `LinkKey`, created at first use.
    slowed : dict
        Factor by which links are slowed down, by source and target data centre; the
        newest factor for each pair.
    silent : set of str
        Failed endpoints whose loss is not reported to the router.
    stream_counts : Counter
        Number of open streams whose path contains an endpoint, by endpoint id.
    """

    pool: Pool
    events: EventQueue
    client_latency: float = 0.001
    engines: dict[EndpointId, EngineModel] = attrs.field(factory=dict)
    links: dict[LinkKey, LinkModel] = attrs.field(factory=dict)
    slowed: dict[tuple[DataCentre, DataCentre], float] = attrs.field(factory=dict)
    silent: set[EndpointId] = attrs.field(factory=set)
    stream_counts: Counter[EndpointId] = attrs.field(factory=Counter)

    def __attrs_post_init__(self) -> None:
        """Create the engines."""
        for spec in self.pool.endpoints:
            if spec.layers is None:
                continue
            accelerator = accelerator_of(self.pool, spec)
            member = GroupMember(spec.id, spec.layers, spec.data_centre, 1.0)
            self.engines[spec.id] = EngineModel(
                member, accelerator, self.events, self.forward
            )

    def open(self, stream: ModelStream) -> None:
        """Start a stream at its first stage; every stage runs the prompt first."""
        stream.rebuilding = {it.endpoint for it in stream.path}
        self.stream_counts.update(it.endpoint for it in stream.path)
        self.events.schedule_after(
            self.client_latency, lambda: self.begin_token(stream)
        )

    def move(self, stream: ModelStream, path: list[GroupMember]) -> None:
        """
        Continue a stream on another path; added stages run the whole context first.

        Parameters
        ----------
        stream : ModelStream
            Stream to continue.
        path : list of GroupMember
            New path of the stream.
        """
        kept = {it.endpoint for it in path} & {it.endpoint for it in stream.path}
        for member in stream.path:
            if member.endpoint not in kept:
                self.engines[member.endpoint].release(stream.request)
        self.stream_counts.subtract(it.endpoint for it in stream.path)
        self.stream_counts.update(it.endpoint for it in path)
        added = {it.endpoint for it in path} - kept
        stream.rebuilding = (stream.rebuilding & kept) | added
        stream.path = path
        # Tokens in flight to the router are discarded and generated again.
        stream.made = stream.received
        stream.attempt += 1
        self.events.schedule_after(
            self.client_latency, lambda: self.begin_token(stream)
        )

    def discard(self, stream: ModelStream) -> None:
        """Close a stream and discard its path and its received tokens."""
        self.close(stream)
        stream.path = []
        stream.received = 0

    def close(self, stream: ModelStream) -> None:
        """Cancel the work of a stream and release its KV memory."""
        stream.attempt += 1
        self.stream_counts.subtract(it.endpoint for it in stream.path)
        for member in stream.path:
            self.engines[member.endpoint].release(stream.request)

    def begin_token(self, stream: ModelStream) -> None:
        """Submit the next token to the first stage."""
        self.submit_stage(stream, stream.attempt, 0)

    def submit_stage(self, stream: ModelStream, attempt: int, index: int) -> None:
        """
        Submit the work of a stage, unless a newer attempt has begun.

        Reports the loss of the stage instead if its engine has failed.

        Parameters
        ----------
        stream : ModelStream
            Stream of the work.
        attempt : int
            Attempt of the stream for which the work is submitted.
        index : int
            Index of the stage in the path.
        """
        if attempt != stream.attempt:
            return
        engine = self.engines[stream.path[index].endpoint]
        if not engine.alive:
            self.report_loss(stream, attempt, engine.id)
            return
        tokens = 1
        if engine.id in stream.rebuilding:
            # At least 2, because an item of 1 token counts as a decode.
            tokens = max(2, stream.prompt + stream.made)
        engine.submit(WorkItem(stream, attempt, index, tokens))

    def forward(self, engine: EngineModel, items: list[WorkItem]) -> None:
        """
        Send finished work to the next stages, in one transfer per stage.

        Work of the last stage of a path finishes a token instead.
        """
        outgoing: dict[tuple[EndpointId, int], list[ModelStream]] = defaultdict(list)
        for item in items:
            stream = item.stream
            if item.index + 1 == len(stream.path):
                self.finish_token(engine, stream)
                continue
            following = stream.path[item.index + 1].endpoint
            outgoing[(following, item.index + 1)].append(stream)
        for (endpoint, index), streams in outgoing.items():
            self.send(engine, endpoint, index, streams)
        for item in items:
            item.stream.rebuilding.discard(engine.id)

    def send(
        self,
        engine: EngineModel,
        endpoint: EndpointId,
        index: int,
        streams: list[ModelStream],
    ) -> None:
        """
        Send the activations of streams to their next stage.

        A stream sends one activation, or one per token of its context if the next
        stage must run the whole context.

        Parameters
        ----------
        engine : EngineModel
            Engine that sends.
        endpoint : str
            Id of the engine that receives.
        index : int
            Index of the next stage in the paths of the streams.
        streams : list of ModelStream
            Streams whose activations are sent together.
        """
        target = self.engines[endpoint]
        activations = 0
        for stream in streams:
            needs_context = endpoint in stream.rebuilding
            activations += stream.prompt + stream.made if needs_context else 1
        link = self.link_between(engine, target)
        arrival = link.send(activations, self.events.now)
        attempts = [(stream, stream.attempt) for stream in streams]

        def arrive() -> None:
            for stream, attempt in attempts:
                self.submit_stage(stream, attempt, index)

        self.events.schedule_at(arrival, arrive)

    def link_between(self, engine: EngineModel, target: EngineModel) -> LinkModel:
        """Return the link between two engines, and create it if necessary."""
        source, sink = engine.member.data_centre, target.member.data_centre
        key = LinkKey(target.member.layers.start, source, sink)
        if key not in self.links:
            self.links[key] = self.make_link(key)
        return self.links[key]

    def make_link(self, key: LinkKey) -> LinkModel:
        """
        Create a link from the tables and the slow-down in force.

        A pair of data centres that the tables lack gets a latency of 0.0001 s and
        `UNLIMITED_RATE`.
        """
        link_model = LinkModel(0.0001, UNLIMITED_RATE)
        for link in self.pool.links:
            if (link.source, link.target) == (key.source, key.target):
                link_model = LinkModel(link.latency, link.rate)
        link_model.slow_down(self.slowed.get((key.source, key.target), 1.0))
        return link_model

    def finish_token(self, engine: EngineModel, stream: ModelStream) -> None:
        """Send a token to the router and start the next token."""
        stream.made += 1
        attempt = stream.attempt

        def arrive() -> None:
            if attempt == stream.attempt:
                stream.received += 1
                stream.on_token(stream)

        self.events.schedule_after(self.client_latency, arrive)
        if stream.done:
            return
        head = self.engines[stream.path[0].endpoint]
        latency = self.latency_between(engine, head)
        self.events.schedule_after(
            latency, lambda: self.submit_stage(stream, attempt, 0)
        )

    def latency_between(self, engine: EngineModel, head: EngineModel) -> float:
        """
        Return the latency from the last stage back to the first one, in seconds.

        Faults that slow a link down do not change it.
        """
        pair = (engine.member.data_centre, head.member.data_centre)
        for link in self.pool.links:
            if (link.source, link.target) == pair:
                return link.latency
        return 0.0001

    def report_loss(
        self, stream: ModelStream, attempt: int, endpoint: EndpointId
    ) -> None:
        """Report a failed stage to the router, unless the failure is silent."""
        if endpoint in self.silent:
            return

        def arrive() -> None:
            if attempt == stream.attempt:
                stream.on_loss(stream, endpoint)

        self.events.schedule_after(self.client_latency, arrive)

    def kill(self, endpoint: EndpointId, silent: bool = False) -> None:
        """
        Mark an engine as failed, and report the loss of its queued work.

        Parameters
        ----------
        endpoint : str
            Id of the engine.
        silent : bool
            Whether the connections of the engine become unresponsive instead of
            breaking, so that its loss is not reported.
        """
        if silent:
            self.silent.add(endpoint)
        for item in self.engines[endpoint].fail():
            self.report_loss(item.stream, item.attempt, endpoint)

    def slow_link(self, source: DataCentre, target: DataCentre, factor: float) -> None:
        """
        Slow down the links between two data centres at every boundary.

        Only links from `source` to `target` are slowed down.
        """
        self.slowed[(source, target)] = factor
        for key, link in self.links.items():
            if (key.source, key.target) == (source, target):
                link.slow_down(factor)

    def loads(self) -> dict[EndpointId, float]:
        """Return the number of streams at each live engine, by endpoint id."""
        return {it.id: float(it.load) for it in self.engines.values() if it.alive}
