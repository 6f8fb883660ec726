"""A replica: an instance of a plain service, or an engine in a chain."""

import asyncio
from collections.abc import Mapping
from typing import Any

import attrs

#: Unix time at which replicas of a test start, in milliseconds.
EPOCH_MS = 1_780_000_000_000


@attrs.define
class ReplicaFaults:
    """
    Faults in force at one replica.

    Attributes
    ----------
    dark : bool
        Whether the replica is unresponsive: connections stay open without responses.
    shed : bool
        Whether the replica refuses requests with status 503 and guarantees, by the
        header ``Not-Executed``, that they have not run.
    pause : str
        Value of the header ``Retry-After`` of these refusals; empty for none.
    lose_answer : bool
        Whether a plain service runs a request and then resets the connection.
    truncate : bool
        Whether a plain service truncates the response and closes the connection.
    extra : bool
        Whether a plain service repeats its previous response before the next one.
    unframed : bool
        Whether responses have neither a length nor chunks and end with the connection.
    early : bool
        Whether the replica responds once it has read the head of a request, and a
        plain service then closes the connection.
    fail : bool
        Whether a plain service responds with status 500.
    stop_after : int
        Number of events after which a stream breaks off inside an event; 0 for never.
    ends_inside : bool
        Whether a stream that `stop_after` breaks off ends with an orderly close.
    ends_frame : bool
        Whether a stream that `stop_after` breaks off ends its chunks.
    states_length : bool
        Whether a stream that `stop_after` breaks off has neither chunks nor an early
        end: its head states the length that it has.
    endless : str
        Which part of a response comes without end until the caller closes: ``"head"``,
        ``"body"`` or, in a stream, ``"event"``; empty for none.
    silent_until : float
        Event loop time until which the replica sends nothing and a chain through it
        stands still, in seconds; afterwards it goes on.
    max_running : int
        Number of concurrent requests from which on one more crashes a plain service;
        0 for no limit.
    delay : float
        Time added to each response of a plain service and to each event of a stream,
        in seconds of the event loop.
    """

    dark: bool = False
    shed: bool = False
    pause: str = ""
    lose_answer: bool = False
    truncate: bool = False
    extra: bool = False
    unframed: bool = False
    early: bool = False
    fail: bool = False
    stop_after: int = 0
    ends_inside: bool = False
    ends_frame: bool = False
    states_length: bool = False
    endless: str = ""
    silent_until: float = 0.0
    max_running: int = 0
    delay: float = 0.0


@attrs.frozen
class Run:
    """
    A request that a replica has started to run.

    Attributes
    ----------
    request_id, method, target : str
        Id, method and target of the request.
    fields : dict
        Headers of the request, with names in lower case.
    body : bytes
        Body of the request.
    at : float
        Event loop time of the start, in seconds.
    """

    request_id: str
    method: str
    target: str
    fields: Mapping[str, str]
    body: bytes
    at: float

    @property
    def path(self) -> str:
        """Return the text of the chain in the request; empty for a plain service."""
        return self.fields.get("hop-count", "")

    @property
    def prompt(self) -> str:
        """Return the parts of the prompt as the request lists them."""
        return self.fields.get("prompt-prefix", "")


@attrs.frozen
class CrashingRequest:
    """
    A request that crashes each replica that begins to run it.

    Attributes
    ----------
    tenant, method, target : str
        Name of the caller's workspace, method and target of the request.
    body : bytes
        Body of the request.
    pieces : int or None
        Number of events, or of pieces of another answer, that are sent before the
        crash; None if not even the head is sent.
    part : int
        Index of the part of the chain that crashes.  A crash of another part than the
        first one leaves the stream silent.
    """

    tenant: str
    method: str
    target: str
    body: bytes
    pieces: int | None = None
    part: int = 0

    def is_due(self, sent: int) -> bool:
        """Return whether the crash comes after a number of events of the answer."""
        return sent >= (self.pieces or 0)


@attrs.define(eq=False)
class FakeReplica:
    """
    State of one replica.

    Attributes
    ----------
    id, service, host : str
        Replica id, name of its service, and IP address.
    port : int
        Port on which the replica listens.
    listen_host : str
        IP address on which the replica listens if not on `host`; otherwise empty.
    data_centre : str
        Data centre of the replica.
    card : str
        Type of accelerator of an engine; empty for a plain service.
    span : tuple of (int, int) or None
        Layers that the replica holds: the first, and the one after the last; None
        before an engine has loaded layers and for a plain service.
    born : int
        Unix time of the start of the replica, in milliseconds.
    slots : int
        Number of concurrent requests that the replica registers as its capacity.
    draining : bool
        Whether the replica is shutting down and refuses to be part of a chain.
    orders : int
        Number of accepted orders to load layers, since the start.
    fence : int
        Highest fencing number seen.
    load_time : float
        Time to load layers, in seconds of the event loop.
    max_layers : int or None
        Number of layers for which the replica has memory; loading more crashes it.
        None for no limit.
    event_time : float
        Time before the head of a stream and after each event, in seconds of the event
        loop.
    faults : ReplicaFaults
        Faults in force.
    runs : list of Run
        Requests that the replica has started to run, oldest first.
    broken_runs : list of str
        Ids of requests whose caller closed the connection while they ran.
    pace : float
        Time that an engine takes, relative to the usual time.
    extra_bytes : int
        Bytes added to the body of each response of a plain service.
    announces_leaving : bool
        Whether all answers say that the replica is leaving.
    named_limits : tuple of str
        Values of the headers ``Server-Limit`` in all answers: requests per second that
        the replica takes from all gateways together.
    running : int
        Number of requests that a plain service runs now.
    arrivals : list of float
        Event loop times at which requests arrived, except reports and orders, in
        seconds.
    last_response : bytes
        Newest response of a plain service, repeated by the fault `extra`.
    writers : set of asyncio.StreamWriter
        Streams to the callers with open connections.
    crashes : list of float
        Event loop times at which the replica has crashed, in seconds.
    """

    id: str
    service: str
    host: str
    port: int = 8000
    listen_host: str = ""
    data_centre: str = "dc-a"
    card: str = ""
    span: tuple[int, int] | None = None
    born: int = EPOCH_MS
    slots: int = 8
    draining: bool = False
    orders: int = 0
    fence: int = 0
    load_time: float = 0.5
    max_layers: int | None = None
    event_time: float = 0.02
    faults: ReplicaFaults = attrs.field(factory=ReplicaFaults)
    runs: list[Run] = attrs.field(factory=list)
    broken_runs: list[str] = attrs.field(factory=list)
    pace: float = 1.0
    extra_bytes: int = 0
    announces_leaving: bool = False
    named_limits: tuple[str, ...] = ()
    running: int = 0
    arrivals: list[float] = attrs.field(factory=list)
    last_response: bytes = b""
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    crashes: list[float] = attrs.field(factory=list)

    @property
    def address(self) -> str:
        """Return the address of the replica, as ``IP:PORT``."""
        return f"{self.host}:{self.port}"

    def entry(self) -> dict[str, Any]:
        """Return the entry of the replica in the store."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        if self.card:
            entry |= {"kind": self.card, "stage": "prefill_decode"}
            entry |= self.layer_fields()
        return entry

    def layer_fields(self) -> dict[str, Any]:
        """Return the fields of an entry or report for the model and the layers."""
        models = [{"name": "lentil-70", "version": 1, "adapters": []}]
        if self.span is None:
            return {"models": models}
        start, end = self.span
        return {
            "models": models,
            "layers": {"from": start, "target": end, "version": 1},
        }

    def report(self) -> dict[str, Any]:
        """Return the response body of ``GET /report``."""
        return {
            "stage": "prefill_decode",
            "busy": False,
            "sequence": self.orders,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "kv_total": 1_000_000,
            "pace": self.pace,
            "stalled": [],
            "born": self.born,
            **self.layer_fields(),
        }

    def restart(self) -> None:
        """
        Restart with the same id, a later start, and without orders and faults.

        An engine also loses its layers.
        """
        self.born += 1000
        self.span = None if self.card else self.span
        self.orders = self.fence = 0
        self.announces_leaving = False
        self.named_limits = ()
        self.faults = ReplicaFaults()

    async def load_layers(self, start: int, end: int) -> None:
        """Load the layers from `start` up to, but not including, `end`."""
        await asyncio.sleep(self.load_time)
        self.span = (start, end)
