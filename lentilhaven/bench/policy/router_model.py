"""One router without I/O: the product's policies, wired as the router does."""

import random
from collections.abc import Callable
from functools import partial

import attrs

from lentilhaven.balancing.link_timing import links_of
from lentilhaven.balancing.path_chooser import PathChooser
from lentilhaven.bench.policy.answer_record import AnswerRecord
from lentilhaven.bench.policy.run_plan import FIRST_TOKEN_TARGET
from lentilhaven.core.ids import EndpointId, RequestId, WorkspaceId
from lentilhaven.limits.gate import Gate
from lentilhaven.limits.ticket import Ticket
from lentilhaven.pipelines.path_loads import PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import Member
from lentilhaven.standins.service_model import Cluster, ModelStream

#: Seconds of silence before a stream's stages are asked whether they live.
TOKEN_TIMEOUT, FIRST_TOKEN_TIMEOUT = 0.2, 1.5

#: Seconds until a stage that does not answer counts as dead.
PROBE_TIME = 0.1

#: Seconds between two looks for silent streams.
SCAN_PERIOD = 0.05


@attrs.define(eq=False)
class RouterModel:
    """
    State of one router.

    Attributes
    ----------
    cluster : Cluster
        Engines and links.
    chooser : PathChooser
        Chooses paths.
    gate : Gate
        Admits requests.
    random : random.Random
        Source of chance.
    weights : callable
        Weight of a workspace.
    restart : bool
        Whether a failed answer begins again from zero.
    records : dict
        `AnswerRecord` of requests in flight or in queue.
    streams : dict
        `ModelStream` of requests in flight.
    sizes : dict
        `PathRequest` of requests in flight.
    unusable : set of str
        Endpoints that the agents have marked.
    gaps : list
        Pairs of time and seconds between tokens.
    """

    cluster: Cluster
    chooser: PathChooser
    gate: Gate
    random: random.Random
    weights: Callable[[WorkspaceId], float]
    restart: bool = False
    records: dict[RequestId, AnswerRecord] = attrs.field(factory=dict)
    streams: dict[RequestId, ModelStream] = attrs.field(factory=dict)
    sizes: dict[RequestId, PathRequest] = attrs.field(factory=dict)
    unusable: set[EndpointId] = attrs.field(factory=set)
    gaps: list[tuple[float, float]] = attrs.field(factory=list)

    @property
    def now(self) -> float:
        """Return virtual time, in seconds."""
        return self.cluster.events.now

    def arrive(self, record: AnswerRecord) -> None:
        """Offer a request to the gate."""
        ticket = Ticket(
            record.request,
            record.workspace,
            self.weights(record.workspace),
            "normal",
            record.prompt + record.length,
            self.now,
            self.gate.start_by(record.arrived + FIRST_TOKEN_TARGET),
        )
        if self.gate.offer(ticket, self.now) is not None:
            record.refused = self.now
            return
        self.records[record.request] = record
        self.dispatch()

    def dispatch(self) -> None:
        """Start waiting requests while the gate and KV memory allow it."""
        while (ticket := self.gate.pick()) is not None:
            record = self.records[ticket.request]
            size = PathRequest(record.prompt + record.length, record.prefix)
            plan = self.plan()
            path = self.chooser.choose(plan, size, self.random)
            if path is None:
                return
            self.chooser.count_demand(plan, self.now)
            self.gate.start(ticket, self.now)
            self.start(record, size, path)

    def plan(self) -> PathPlan:
        """Return the plan in force."""
        return self.chooser.plan(self.cluster.pool, None, self.unusable, self.now)

    def start(
        self, record: AnswerRecord, size: PathRequest, path: list[Member]
    ) -> None:
        """Open a request's stream."""
        stream = ModelStream(
            record.request,
            record.prompt,
            record.length,
            path,
            self.take_token,
            self.take_loss,
            record.prefix,
        )
        self.chooser.loads.begin(path, size)
        self.streams[record.request] = stream
        self.sizes[record.request] = size
        record.started = record.last_token = self.now
        record.attempts = 1
        self.cluster.open(stream)

    def take_token(self, stream: ModelStream) -> None:
        """Record a token and end the answer with its last."""
        record = self.records[stream.request]
        if record.first_token is None:
            record.first_token = self.now
            self.gate.observe_first(self.now - (record.started or 0.0))
        else:
            gap = self.now - record.last_token
            self.gaps.append((self.now, gap))
            self.gate.observe(gap, self.now)
            if stream.attempt == 1 or stream.received > 1:
                self.chooser.timing.observe(links_of(stream.path), gap, self.now)
        record.last_token = self.now
        if stream.received >= stream.length:
            self.finish(record, stream)

    def finish(self, record: AnswerRecord, stream: ModelStream) -> None:
        """Close a complete answer."""
        record.finished = self.now
        record.cached, record.stages = stream.cached, len(stream.path)
        self.cluster.close(stream)
        self.chooser.loads.finish(stream.path, self.sizes.pop(stream.request))
        self.gate.finish(self.gate.state.running[stream.request], self.now)
        del self.records[stream.request], self.streams[stream.request]
        self.dispatch()

    def take_loss(self, stream: ModelStream, endpoint: EndpointId) -> None:
        """Repair a stream whose stage was found dead."""
        self.repair(stream, {endpoint})

    def repair(self, stream: ModelStream, lost: set[EndpointId]) -> None:
        """Move a stream to a path without dead endpoints."""
        self.chooser.suspects.add(lost, self.now)
        size = self.sizes[stream.request]
        if self.restart:
            path = self.chooser.choose(self.plan(), size, self.random)
        else:
            path = self.chooser.repair(
                self.plan(), size, stream.path, lost, self.random
            )
        # Without a path, the next look for silent streams tries again.
        if path is not None:
            self.move(stream, path)

    def move(self, stream: ModelStream, path: list[Member]) -> None:
        """Go on with a stream on another path."""
        size = self.sizes[stream.request]
        self.chooser.loads.finish(stream.path, size)
        self.chooser.loads.begin(path, size)
        record = self.records[stream.request]
        record.attempts += 1
        record.last_token = self.now
        if self.restart:
            self.cluster.forget(stream)
        self.cluster.move(stream, path)

    def leave_slow_links(self) -> None:
        """Move streams off links that are avoided."""
        if not self.chooser.timing.slow_links(self.now):
            return
        plan = self.plan()
        for stream in list(self.streams.values()):
            size = self.sizes[stream.request]
            path = self.chooser.leave_links(
                plan, size, stream.path, self.now, self.random
            )
            if path is not None:
                self.move(stream, path)

    def scan(self) -> None:
        """Ask the stages of silent streams whether they live."""
        self.leave_slow_links()
        for request, stream in list(self.streams.items()):
            record = self.records[request]
            timeout = TOKEN_TIMEOUT if stream.received else FIRST_TOKEN_TIMEOUT
            if self.now - record.last_token >= timeout:
                probe = partial(self.probe, stream, stream.attempt)
                self.cluster.events.after(PROBE_TIME, probe)

    def probe(self, stream: ModelStream, attempt: int) -> None:
        """Repair a stream if any of its stages is dead."""
        if stream.request not in self.streams or stream.attempt != attempt:
            return
        lost = {
            it.endpoint
            for it in stream.path
            if not self.cluster.engines[it.endpoint].alive
        }
        if lost:
            self.repair(stream, lost)
