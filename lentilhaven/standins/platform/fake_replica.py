"""A replica: a plain service's instance, or an engine of a chain."""

import asyncio
from collections.abc import Mapping
from typing import Any

import attrs

#: Milliseconds since 1970 at which replicas of a test start.
EPOCH_MS = 1_780_000_000_000


@attrs.define
class ReplicaFaults:
    """
    What a replica does wrong.

    Attributes
    ----------
    dark : bool
        It is silent: connections stay open and nothing is answered.
    shed : bool
        It turns requests away with a promise that they have not run.
    lose_answer : bool
        It runs a request and resets the connection.
    truncate : bool
        It ends an answer before its end.
    extra : bool
        It repeats its last answer before the next one.
    unframed : bool
        Its answers end with their connection.
    early : bool
        It answers before it has read the body.
    fail : bool
        It answers 500.
    stop_after : int
        Events after which a stream breaks off within an event; 0 for never.
    delay : float
        Seconds added to each answer, and to each event.
    """

    dark: bool = False
    shed: bool = False
    lose_answer: bool = False
    truncate: bool = False
    extra: bool = False
    unframed: bool = False
    early: bool = False
    fail: bool = False
    stop_after: int = 0
    delay: float = 0.0


@attrs.frozen
class Run:
    """
    A request that a replica began to work on.

    Attributes
    ----------
    request_id, method, target : str
        Of the request.
    fields : dict
        Its headers, with names in lower case.
    body : bytes
        Its body.
    at : float
        Time of the event loop.
    """

    request_id: str
    method: str
    target: str
    fields: Mapping[str, str]
    body: bytes
    at: float


@attrs.define(eq=False)
class FakeReplica:
    """
    The state of one replica.

    Attributes
    ----------
    id, service, host : str
        Identity, service and IP address.
    port : int
        Where it listens.
    listen_host : str
        IP address on which it listens if that is another one; empty for `host`.
    data_centre : str
        Where it stands.
    card : str
        Kind of accelerator; empty for a plain service.
    span : tuple of (int, int) or None
        Layers that it holds, from the first to the one after the last.
    born : int
        Unix time of its start, in ms.
    draining : bool
        Whether it leaves.
    orders : int
        Orders that it has accepted.
    fence : int
        Highest fencing number that it has seen.
    load_time : float
        Seconds to load layers.
    event_time : float
        Seconds between the events of its streams.
    faults : ReplicaFaults
        What it does wrong.
    runs : list of Run
        What it has run.
    broken_runs : list of str
        Ids of requests whose connection was closed while they ran.
    reading_late : list of bytes
        Bytes that came where the rest of a body was due.
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
    event_time: float = 0.02
    faults: ReplicaFaults = attrs.field(factory=ReplicaFaults)
    runs: list[Run] = attrs.field(factory=list)
    broken_runs: list[str] = attrs.field(factory=list)
    last_answer: bytes = b""

    @property
    def address(self) -> str:
        """Return ``IP:PORT``."""
        return f"{self.host}:{self.port}"

    def entry(self) -> dict[str, Any]:
        """Return the replica's entry in the store."""
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
            entry |= self.described_layers()
        return entry

    def described_layers(self) -> dict[str, Any]:
        """Return the fields that name the layers."""
        models = [{"name": "lentil-70", "version": 1, "adapters": []}]
        if self.span is None:
            return {"models": models}
        start, end = self.span
        return {
            "models": models,
            "layers": {"from": start, "target": end, "version": 1},
        }

    def report(self) -> dict[str, Any]:
        """Return what ``GET /report`` answers."""
        return {
            "stage": "prefill_decode",
            "busy": False,
            "sequence": self.orders,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "kv_total": 1_000_000,
            "pace": 1.0,
            "stalled": [],
            "born": self.born,
            **self.described_layers(),
        }

    def restart(self) -> None:
        """Start again under the same id, empty."""
        self.born += 1000
        self.span = None if self.card else self.span
        self.orders = self.fence = 0
        self.faults = ReplicaFaults()

    async def place(self, start: int, end: int) -> None:
        """Load a range of layers."""
        await asyncio.sleep(self.load_time)
        self.span = (start, end)
