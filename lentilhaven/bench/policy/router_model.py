"""Model of a router without I/O: its policies, connected as the router does."""

import random
from collections.abc import Callable
from functools import partial

import attrs

from lentilhaven.balancing.link_timing import inter_data_centre_links
from lentilhaven.balancing.path_chooser import PathChooser
from lentilhaven.bench.policy.request_record import RequestRecord
from lentilhaven.bench.policy.run_plan import FIRST_TOKEN_TARGET
from lentilhaven.core.ids import EndpointId, RequestId, WorkspaceId
from lentilhaven.limits.admission_controller import AdmissionController
from lentilhaven.limits.admission_request import AdmissionRequest
from lentilhaven.pipelines.path_loads import PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import GroupMember
from lentilhaven.standins.service_model import Cluster, ModelStream

#: Seconds without a further token, and without the first one, after which the
#: stages of a stream are probed.
TOKEN_TIMEOUT, FIRST_TOKEN_TIMEOUT = 0.2, 1.5

#: Seconds until a stage that does not respond to a probe counts as failed.
PROBE_TIMEOUT = 0.1

#: Seconds between two scans for silent streams.
SCAN_PERIOD = 0.05


@attrs.define(eq=False)
class RouterModel:
    """
    State of one router.

    Attributes
    ----------
    cluster : Cluster
        Models of the engines and links.
    chooser : PathChooser
        Path selection.
    gate : AdmissionController
        Admission control.
    rng : random.Random
        Source of randomness.
    weight_of : callable
        Returns the weight of a workspace.
    restart : bool
        Whether a response restarts from its first token after a failure.
    records : dict
        `RequestRecord` by id of the requests in flight or in queue.
    streams : dict
        `ModelStream` by id of the requests in flight.
    path_requests : dict
        `PathRequest` by id of the requests in flight.
    unusable : set of str
        Endpoints that the agents have marked unusable.
    gaps : list
        Pairs of a token's arrival time and the seconds since the token before, or since
        the stream moved to another path if that is later.  First tokens are left out.
    """

    cluster: Cluster
    chooser: PathChooser
    gate: AdmissionController
    rng: random.Random
    weight_of: Callable[[WorkspaceId], float]
    restart: bool = False
    records: dict[RequestId, RequestRecord] = attrs.field(factory=dict)
    streams: dict[RequestId, ModelStream] = attrs.field(factory=dict)
    path_requests: dict[RequestId, PathRequest] = attrs.field(factory=dict)
    unusable: set[EndpointId] = attrs.field(factory=set)
    gaps: list[tuple[float, float]] = attrs.field(factory=list)

    @property
    def now(self) -> float:
        """Return the virtual time, in seconds."""
        return self.cluster.events.now

    def arrive(self, record: RequestRecord) -> None:
        """Queue a request that has arrived, or refuse it."""
        ticket = AdmissionRequest(
            record.request,
            record.workspace,
            self.weight_of(record.workspace),
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
        """Start queued requests while admission control and the KV memory allow it."""
        while (ticket := self.gate.pick()) is not None:
            record = self.records[ticket.request]
            path_request = PathRequest(record.prompt + record.length, record.prefix)
            plan = self.plan()
            path = self.chooser.choose(plan, path_request, self.rng)
            if path is None:
                return
            self.chooser.count_demand(plan, self.now)
            self.gate.start(ticket, self.now)
            self.start(record, path_request, path)

    def plan(self) -> PathPlan:
        """Return the current path plan."""
        return self.chooser.plan(self.cluster.pool, None, self.unusable, self.now)

    def start(
        self, record: RequestRecord, path_request: PathRequest, path: list[GroupMember]
    ) -> None:
        """Open the stream of a request on a path."""
        stream = ModelStream(
            record.request,
            record.prompt,
            record.length,
            path,
            self.receive_token,
            self.handle_stage_loss,
            record.prefix,
        )
        self.chooser.loads.begin(path, path_request)
        self.streams[record.request] = stream
        self.path_requests[record.request] = path_request
        record.started = record.last_token = self.now
        record.attempts = 1
        self.cluster.open(stream)

    def receive_token(self, stream: ModelStream) -> None:
        """Record a token; the last one finishes the response."""
        record = self.records[stream.request]
        if record.first_token is None:
            record.first_token = self.now
            self.gate.observe_first(self.now - (record.started or 0.0))
        else:
            gap = self.now - record.last_token
            self.gaps.append((self.now, gap))
            self.gate.observe(gap, self.now)
            if stream.attempt == 1 or stream.received > 1:
                self.chooser.timing.observe(
                    inter_data_centre_links(stream.path), gap, self.now
                )
        record.last_token = self.now
        if stream.received >= stream.length:
            self.finish(record, stream)

    def finish(self, record: RequestRecord, stream: ModelStream) -> None:
        """Record a complete response and release its resources."""
        record.finished = self.now
        record.cached, record.stages = stream.cached, len(stream.path)
        self.cluster.close(stream)
        self.chooser.loads.finish(stream.path, self.path_requests.pop(stream.request))
        self.gate.finish(self.gate.state.running[stream.request], self.now)
        del self.records[stream.request], self.streams[stream.request]
        self.dispatch()

    def handle_stage_loss(self, stream: ModelStream, endpoint: EndpointId) -> None:
        """Repair a stream after one of its stages has failed."""
        self.repair(stream, {endpoint})

    def repair(self, stream: ModelStream, lost: set[EndpointId]) -> None:
        """Move a stream to a path without the failed endpoints, if there is one."""
        self.chooser.suspects.add(lost, self.now)
        path_request = self.path_requests[stream.request]
        if self.restart:
            path = self.chooser.choose(self.plan(), path_request, self.rng)
        else:
            path = self.chooser.repair(
                self.plan(), path_request, stream.path, lost, self.rng
            )
        # If there is no path now, the next scan for silent streams tries again.
        if path is not None:
            self.move(stream, path)

    def move(self, stream: ModelStream, path: list[GroupMember]) -> None:
        """Continue a stream on another path, as a new attempt."""
        path_request = self.path_requests[stream.request]
        self.chooser.loads.finish(stream.path, path_request)
        self.chooser.loads.begin(path, path_request)
        record = self.records[stream.request]
        record.attempts += 1
        record.last_token = self.now
        if self.restart:
            self.cluster.discard(stream)
        self.cluster.move(stream, path)

    def leave_slow_links(self) -> None:
        """Move streams off slow links."""
        if not self.chooser.timing.slow_links(self.now):
            return
        plan = self.plan()
        for stream in list(self.streams.values()):
            path_request = self.path_requests[stream.request]
            path = self.chooser.bypass_slow_links(
                plan, path_request, stream.path, self.now, self.rng
            )
            if path is not None:
                self.move(stream, path)

    def scan(self) -> None:
        """Move streams off slow links, and probe the stages of silent streams."""
        self.leave_slow_links()
        for request, stream in list(self.streams.items()):
            record = self.records[request]
            timeout = TOKEN_TIMEOUT if stream.received else FIRST_TOKEN_TIMEOUT
            if self.now - record.last_token >= timeout:
                probe = partial(self.probe, stream, stream.attempt)
                self.cluster.events.schedule_after(PROBE_TIMEOUT, probe)

    def probe(self, stream: ModelStream, attempt: int) -> None:
        """Repair a stream that has a failed stage, unless it has ended or moved."""
        if stream.request not in self.streams or stream.attempt != attempt:
            return
        lost = {
            it.endpoint
            for it in stream.path
            if not self.cluster.engines[it.endpoint].alive
        }
        if lost:
            self.repair(stream, lost)
