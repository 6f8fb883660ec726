"""Replicas of a test, with their registrations and connections."""

import asyncio
import contextlib
import json
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Protocol

import attrs

from lentilhaven.standins.platform.fake_replica import (
    CrashingRequest,
    FakeReplica,
    Run,
)
from lentilhaven.standins.platform.fake_store import FakeStore
from lentilhaven.standins.platform.replica_wire import (
    RequestReader,
    decode_path,
    encode_chunk,
    encode_head,
    encode_response,
    read_request,
    reset_connection,
    send_json,
    send_response,
)

#: Time after which a stream with an unresponsive part is aborted, in seconds of the
#: event loop.
STALL_TIMEOUT = 3.0

#: Delay of a response from an unresponsive replica, in seconds of the event loop.
HANG_TIME = 3600.0

#: Bytes in each piece of an answer in which a replica crashes, and the pause between
#: two pieces, in seconds of the event loop.
PIECE_BYTES = 4
PIECE_INTERVAL = 0.01

#: Pause between two checks of the parts of a stream, in seconds of the event loop.
PART_CHECK_INTERVAL = 0.05

#: Bytes that are missing from an event inside which a stream breaks off.
CUT_BYTES = 4

#: Bytes in each write of a response without end, and the pause after each, in seconds
#: of the event loop.
ENDLESS_BYTES = 65_536
ENDLESS_INTERVAL = 0.001


class Front(Protocol):
    """Forwards the connections to a replica that listens elsewhere."""

    async def listen(self) -> None:
        """Accept connections."""

    def refuse(self) -> None:
        """Accept no more connections."""


@attrs.define(eq=False)
class FakeFleet:
    """
    Replicas that can address each other.

    A part of a chain is a replica and the layers that it runs for a request, written as
    the address, the first layer and the layer after the last.

    Attributes
    ----------
    store : FakeStore
        Store in which the replicas register.
    replicas : dict
        `FakeReplica` by replica id.
    layers : int
        Number of layers of the model.
    replaced_paths : dict
        Current parts of each chain that was replaced during its stream, by request id.
    refused : int
        Number of requests refused because a part of their chain was not available or
        did not hold its layers.
    invalid_paths : list of str
        Texts of the chains, from requests and orders, that do not run each layer once
        and in order.
    crashing_part : str
        Id of a part of prompts; an engine that begins to write an answer on a prompt
        with it crashes.  Empty for none.
    crashing_arrivals : list of float
        Event loop times at which requests with this part arrived, in seconds.
    crashing_requests : list of CrashingRequest
        Requests that crash the replicas that run them.
    crashing_request_arrivals : list of float
        Event loop times at which these requests arrived, in seconds.
    last_words : bytes or None
        Bytes that such an engine sends after the head before it crashes; None if it
        sends no head.
    crash_time : float
        Seconds of the event loop after which a crashed replica is back.
    keeps_layers : bool
        Whether a crashed engine is back with the layers that it held.
    crashing_layer : int or None
        Layer whose loading crashes an engine; None for none.
    restarts_anew : bool
        Whether a crashed replica is back under a new id at the same address.
    servers : dict
        Server of each replica that is up, by replica id.
    fronts : dict
        What forwards the connections to a replica, by replica id; it listens only while
        the replica does.
    crash_tasks : set of asyncio.Future
        Crashes whose replica is not back yet.
    crashed_parts : set of (str, str)
        Ids of crashing requests, each with the address of a part that has crashed on
        it.
    """

    store: FakeStore
    replicas: dict[str, FakeReplica] = attrs.field(factory=dict)
    layers: int = 8
    replaced_paths: dict[str, list[tuple[str, int, int]]] = attrs.field(factory=dict)
    refused: int = 0
    invalid_paths: list[str] = attrs.field(factory=list)
    crashing_part: str = ""
    crashing_arrivals: list[float] = attrs.field(factory=list)
    crashing_requests: list[CrashingRequest] = attrs.field(factory=list)
    crashing_request_arrivals: list[float] = attrs.field(factory=list)
    last_words: bytes | None = None
    crash_time: float = 2.0
    keeps_layers: bool = False
    crashing_layer: int | None = None
    restarts_anew: bool = False
    servers: dict[str, asyncio.Server] = attrs.field(factory=dict)
    fronts: dict[str, Front] = attrs.field(factory=dict)
    crash_tasks: set[asyncio.Future[None]] = attrs.field(factory=set)
    crashed_parts: set[tuple[str, str]] = attrs.field(factory=set)

    def register(self, replica: FakeReplica) -> None:
        """Write the entry of a replica to the store."""
        self.store.put("servers", replica.id, replica.entry())

    def find_replica(self, address: str) -> FakeReplica | None:
        """Return the replica at an address, or None."""
        for replica in self.replicas.values():
            if replica.address == address:
                return replica
        return None

    @property
    def runs(self) -> list[Run]:
        """Return the runs of all replicas."""
        return [run for replica in self.replicas.values() for run in replica.runs]

    @asynccontextmanager
    async def open(self, *replicas: FakeReplica) -> AsyncIterator["FakeFleet"]:
        """Start the servers of replicas, register the replicas and yield the fleet."""
        for replica in replicas:
            self.replicas[replica.id] = replica
            await self.start_server(replica)
            self.register(replica)
        try:
            yield self
        finally:
            for task in list(self.crash_tasks):
                task.cancel()
            for server in self.servers.values():
                server.close()

    async def start_server(self, replica: FakeReplica) -> None:
        """Accept connections to a replica."""
        serve = self.make_connection_handler(replica)
        host = replica.listen_host or replica.host
        server = await asyncio.start_server(serve, host, replica.port)
        self.servers[replica.id] = server

    def begin_crash(self, replica: FakeReplica) -> None:
        """Let a replica crash in a task of its own."""
        task = asyncio.ensure_future(self.crash(replica))
        self.crash_tasks.add(task)
        task.add_done_callback(self.end_crash)

    def end_crash(self, task: asyncio.Future[None]) -> None:
        """Forget a crash that is over."""
        self.crash_tasks.discard(task)
        if not task.cancelled():
            # Raises an error of the task again, so that the event loop reports it.
            task.result()

    async def crash(self, replica: FakeReplica) -> None:
        """Reset all connections of a replica, and start it again after a while."""
        if replica.id not in self.servers:
            return
        replica.crashes.append(asyncio.get_running_loop().time())
        self.servers.pop(replica.id).close()
        front = self.fronts.get(replica.id)
        if front is not None:
            front.refuse()
        for writer in list(replica.writers):
            reset_connection(writer)
        await asyncio.sleep(self.crash_time)
        span = replica.span
        replica.restart()
        if self.keeps_layers:
            replica.span = span
        if self.restarts_anew:
            self.rename(replica)
        await self.start_server(replica)
        if front is not None:
            await front.listen()
        self.register(replica)

    def rename(self, replica: FakeReplica) -> None:
        """Give a replica a new id, and remove the entry of the old one."""
        del self.replicas[replica.id]
        self.store.delete("servers", replica.id)
        replica.id = f"{replica.id}x"
        self.replicas[replica.id] = replica

    def make_connection_handler(self, replica: FakeReplica) -> Any:
        """Return the callback that serves all requests on a connection to a replica."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            replica.writers.add(writer)
            with contextlib.suppress(OSError, asyncio.CancelledError):
                while await self.serve_request(replica, reader, writer):
                    pass
            replica.writers.discard(writer)
            writer.close()

        return serve

    async def serve_request(
        self,
        replica: FakeReplica,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        request = await read_request(reader, replica.faults.early)
        if request is None:
            return False
        if replica.faults.dark:
            await asyncio.sleep(HANG_TIME)
        await wait_while_silent(replica)
        expected = request.fields.get("expect-replica", replica.id)
        if expected != replica.id:
            return await send_response(replica, writer, request, 421, b"", not_run=True)
        if request.target == "/report":
            return await send_json(replica, writer, request, replica.report())
        if request.target == "/order":
            return await self.handle_order(replica, request, writer)
        replica.arrivals.append(asyncio.get_running_loop().time())
        if self.has_crashing_part(request):
            self.crashing_arrivals.append(replica.arrivals[-1])
        if self.find_crashing_request(request) is not None:
            self.crashing_request_arrivals.append(replica.arrivals[-1])
        return await self.serve_work(replica, request, reader, writer)

    async def serve_work(
        self,
        replica: FakeReplica,
        request: RequestReader,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """
        Serve a caller's request, whatever the service.

        Returns whether the connection stays open.
        """
        if replica.faults.endless in ("head", "body"):
            record_run(replica, request)
            return await send_endlessly(replica, writer, request)
        if replica.faults.shed:
            return await send_response(replica, writer, request, 503, b"", not_run=True)
        if "hop-count" in request.fields:
            return await self.serve_chain(replica, request, reader, writer)
        return await self.serve_plain(replica, request, writer)

    async def serve_plain(
        self,
        replica: FakeReplica,
        request: RequestReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """
        Serve a request to a plain service.

        Returns whether the connection stays open.
        """
        record_run(replica, request)
        faults = replica.faults
        replica.running += 1
        try:
            if 0 < faults.max_running < replica.running:
                self.begin_crash(replica)
                return False
            await asyncio.sleep(0.01 + faults.delay)
            await wait_while_silent(replica)
        finally:
            replica.running -= 1
        crashing = self.find_crashing_request(request)
        if crashing is not None:
            return await self.crash_in_answer(replica, request, writer, crashing)
        if faults.lose_answer:
            reset_connection(writer)
            return False
        body = f"{replica.id} {request.method} {request.target}".encode() * 3
        body += bytes(replica.extra_bytes)
        status = 500 if faults.fail else 200
        prefix = replica.last_response if faults.extra else b""
        sent = encode_response(replica, request, status, body, faults.unframed)
        replica.last_response = sent
        writer.write(prefix + (sent[:-5] if faults.truncate else sent))
        await writer.drain()
        if faults.truncate and faults.unframed:
            # Only a reset shows that such a response is not whole.
            reset_connection(writer)
        return not (faults.truncate or faults.unframed or faults.early)

    async def serve_chain(
        self,
        replica: FakeReplica,
        request: RequestReader,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """
        Serve a generation request over a chain.

        Returns whether the connection stays open.  Refuses the request if a part is
        not available or does not hold its layers.
        """
        # The platform's header Hop-Count lists the parts of the whole chain.
        path = request.fields["hop-count"]
        parts = decode_path(path)
        self.check_path(path, parts)
        for address, start, end in parts:
            part = self.find_replica(address)
            if part is None or part.draining:
                self.refused += 1
                return await send_response(
                    replica, writer, request, 503, b"", True, address
                )
            held = part.span
            if held is None or not (held[0] <= start and end <= held[1]):
                self.refused += 1
                return await send_response(
                    replica, writer, request, 421, b"", True, address
                )
        record_run(replica, request)
        # Completes once the caller closes the connection.
        disconnect = asyncio.ensure_future(reader.read(1))
        try:
            return await self.send_stream(replica, request, parts, writer, disconnect)
        finally:
            disconnect.cancel()
            await asyncio.wait([disconnect])

    async def send_stream(
        self,
        replica: FakeReplica,
        request: RequestReader,
        parts: list[tuple[str, int, int]],
        writer: asyncio.StreamWriter,
        disconnect: asyncio.Future[bytes],
    ) -> bool:
        """
        Send events while all parts of the chain respond.

        Returns whether the connection stays open, which is so after a complete stream.
        Events up to the header ``Last-Event-Id`` are left out.

        Parameters
        ----------
        replica : FakeReplica
            Replica that sends the events.
        request : RequestReader
            Request to answer.
        parts : list of tuple of (str, int, int)
            Parts of the chain in the request.
        writer : asyncio.StreamWriter
            Stream to the caller.
        disconnect : asyncio.Future of bytes
            Done once the caller has closed the connection.
        """
        await asyncio.sleep(replica.event_time)
        if self.has_crashing_part(request):
            if self.last_words is not None:
                writer.write(encode_head(replica, request, 200, stream_frame(replica)))
                writer.write(self.last_words)
                await writer.drain()
            self.begin_crash(replica)
            return False
        await wait_while_silent(replica)
        crashing = self.find_crashing_request(request)
        if crashing is not None and crashing.pieces is None:
            return await self.crash_before_head(
                replica, request, parts, writer, crashing
            )
        writer.write(encode_head(replica, request, 200, stream_frame(replica)))
        if replica.faults.endless == "event":
            return await send_endlessly(replica, writer, request)
        return await self.send_events(replica, request, parts, writer, disconnect)

    async def send_events(
        self,
        replica: FakeReplica,
        request: RequestReader,
        parts: list[tuple[str, int, int]],
        writer: asyncio.StreamWriter,
        disconnect: asyncio.Future[bytes],
    ) -> bool:
        """
        Send the events of a stream after its head.

        Parameters and the returned value are those of `send_stream`.
        """
        faults = replica.faults
        unframed = faults.unframed or faults.states_length
        encode = bytes if unframed else encode_chunk
        _, _, output = request.fields.get("token-count", "8,40").partition(",")
        # One event stands for 4 tokens of the output.
        event_count = int(output) // 4
        last_received = int(request.fields.get("last-event-id") or 0)
        births: dict[str, int] = {}
        for number in range(last_received + 1, event_count + 1):
            sent = number - last_received - 1
            if not await self.reach_event(replica, request, parts, births, sent):
                reset_connection(writer)
                return False
            if has_lost_caller(replica, request, writer, disconnect):
                return False
            event = encode_event(number)
            if faults.stop_after and number > faults.stop_after:
                writer.write(encode(event[:-CUT_BYTES]))
                if faults.ends_frame and not unframed:
                    writer.write(encode_chunk(b""))
                await writer.drain()
                if not faults.ends_inside:
                    reset_connection(writer)
                return False
            writer.write(encode(event))
            await writer.drain()
            pace = max(self.pace_at(address) for address, _, _ in parts)
            await asyncio.sleep(replica.event_time * pace + faults.delay)
        if not unframed:
            writer.write(encode_chunk(b""))
        await writer.drain()
        return not unframed

    async def reach_event(
        self,
        replica: FakeReplica,
        request: RequestReader,
        parts: list[tuple[str, int, int]],
        births: dict[str, int],
        sent: int,
    ) -> bool:
        """
        Wait until all parts of a chain respond, or return False if the stream ends.

        Parameters
        ----------
        replica, request, parts, births
            As in `send_stream` and `wait_for_parts`.
        sent : int
            Number of events that this run has sent.
        """
        request_id = request.fields["request-id"]
        rule = self.find_crashing_request(request)
        while await self.wait_for_parts(request_id, parts, births):
            if rule is None or not rule.is_due(sent):
                return True
            # A part that replaces a crashed one crashes too.
            if self.crash_part(request_id, parts, rule) is replica:
                return False
            await asyncio.sleep(PART_CHECK_INTERVAL)
        return False

    def has_crashing_part(self, request: RequestReader) -> bool:
        """Return whether a request has the part of prompts that crashes engines."""
        entries = request.fields.get("prompt-prefix", "").split(",")
        parts = [entry.partition(":")[0].strip() for entry in entries]
        return bool(self.crashing_part) and self.crashing_part in parts

    def find_crashing_request(self, request: RequestReader) -> CrashingRequest | None:
        """Return why a request crashes its replicas; None if it does not."""
        for rule in self.crashing_requests:
            if (
                request.fields.get("tenant", "") == rule.tenant
                and (request.method, request.target) == (rule.method, rule.target)
                and request.body == rule.body
            ):
                return rule
        return None

    async def crash_in_answer(
        self,
        replica: FakeReplica,
        request: RequestReader,
        writer: asyncio.StreamWriter,
        rule: CrashingRequest,
    ) -> bool:
        """
        Let a replica of a plain service crash before or within its answer.

        Returns that the connection does not stay open.
        """
        if rule.pieces is not None:
            length = PIECE_BYTES * (rule.pieces + 1)
            head = encode_head(replica, request, 200, f"Content-Length: {length}")
            writer.write(head)
            for _ in range(rule.pieces):
                writer.write(b"x" * PIECE_BYTES)
                await writer.drain()
                await asyncio.sleep(PIECE_INTERVAL)
        self.begin_crash(replica)
        return False

    async def crash_before_head(
        self,
        replica: FakeReplica,
        request: RequestReader,
        parts: list[tuple[str, int, int]],
        writer: asyncio.StreamWriter,
        rule: CrashingRequest,
    ) -> bool:
        """
        Let a part of a chain crash before the first event of a stream.

        If it is a later part, the first one refuses the request after `STALL_TIMEOUT`;
        a part that replaces it meanwhile crashes too.  Returns whether the connection
        stays open.
        """
        request_id = request.fields["request-id"]
        crashed = None
        until = math.inf
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            part = self.crash_part(request_id, parts, rule)
            if part is replica:
                return False
            if part is not crashed:
                crashed, until = part, loop.time() + STALL_TIMEOUT
            await asyncio.sleep(PART_CHECK_INTERVAL)
        address = crashed.address if crashed is not None else ""
        # The refusal promises that the request has not run.
        replica.runs = [it for it in replica.runs if it.request_id != request_id]
        return await send_response(replica, writer, request, 503, b"", True, address)

    def crash_part(
        self,
        request_id: str,
        parts: list[tuple[str, int, int]],
        rule: CrashingRequest,
    ) -> FakeReplica | None:
        """
        Let the part of a request's chain crash that a rule names, and return it.

        A part that has crashed on the request before is not crashed again: after its
        start it knows nothing of the request.
        """
        current_parts = self.replaced_paths.get(request_id, parts)
        address, _, _ = current_parts[min(rule.part, len(current_parts) - 1)]
        part = self.find_replica(address)
        if part is not None and (request_id, address) not in self.crashed_parts:
            self.crashed_parts.add((request_id, address))
            self.begin_crash(part)
        return part

    async def wait_for_parts(
        self,
        request_id: str,
        parts: list[tuple[str, int, int]],
        births: dict[str, int],
    ) -> bool:
        """
        Wait until all parts respond, or return False after `STALL_TIMEOUT`.

        Parameters
        ----------
        request_id : str
            Id of the request.
        parts : list of tuple of (str, int, int)
            Parts of the chain in the request.
        births : dict
            Start of each part when the request first reached it, by address; a part
            that has started again knows nothing of the request.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + STALL_TIMEOUT
        while True:
            current_parts = self.replaced_paths.get(request_id, parts)
            addresses = [address for address, _, _ in current_parts]
            if not any(
                self.is_unresponsive(address) or self.has_restarted(address, births)
                for address in addresses
            ):
                return True
            if loop.time() >= until:
                return False
            await asyncio.sleep(PART_CHECK_INTERVAL)

    def has_restarted(self, address: str, births: dict[str, int]) -> bool:
        """Return whether the replica at an address has started again since `births`."""
        part = self.find_replica(address)
        if part is None:
            return False
        return births.setdefault(address, part.born) != part.born

    def pace_at(self, address: str) -> float:
        """Return the pace of the replica at an address; 1 if it is unknown."""
        part = self.find_replica(address)
        return part.pace if part is not None else 1.0

    def is_unresponsive(self, address: str) -> bool:
        """Return whether the replica at an address is unknown or unresponsive now."""
        part = self.find_replica(address)
        if part is None or part.faults.dark or part.id not in self.servers:
            return True
        return asyncio.get_running_loop().time() < part.faults.silent_until

    def check_path(self, path: str, parts: list[tuple[str, int, int]]) -> None:
        """Record a path whose parts do not run each layer once and in order."""
        next_layer = 0
        for _, start, end in parts:
            if start != next_layer:
                self.invalid_paths.append(path)
                return
            next_layer = end
        if next_layer != self.layers:
            self.invalid_paths.append(path)

    async def handle_order(
        self,
        replica: FakeReplica,
        request: RequestReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """
        Accept or refuse an order, and return that the connection stays open.

        An order to replace the chain of a stream is always accepted.  Any other is
        refused if its fencing number is outdated or its ``precondition`` differs from
        the number of orders that the replica has accepted.
        """
        order = json.loads(request.body)
        if order["operation"] == "repath":
            parts = decode_path(order["path"])
            self.check_path(order["path"], parts)
            self.replaced_paths[order["id"]] = parts
            return await send_response(replica, writer, request, 202, b"")
        fence = order.get("fencing_token", 0)
        if fence < replica.fence:
            return await send_response(replica, writer, request, 412, b"")
        replica.fence = fence
        if order.get("precondition", replica.orders) != replica.orders:
            return await send_response(replica, writer, request, 409, b"")
        replica.orders += 1
        task = asyncio.ensure_future(self.execute_order(replica, order))
        # Raises an error of the task again, so that the event loop reports it.
        task.add_done_callback(lambda done: done.cancelled() or done.result())
        return await send_response(replica, writer, request, 202, b"")

    async def execute_order(self, replica: FakeReplica, order: dict[str, Any]) -> None:
        """Load the ordered layers, then write the new entry of the replica."""
        layers = range(order["from"], order["target"])
        is_too_large = replica.max_layers is not None and (
            len(layers) > replica.max_layers
        )
        if is_too_large or self.crashing_layer in layers:
            await asyncio.sleep(replica.load_time / 2)
            await self.crash(replica)
            return
        await replica.load_layers(layers.start, layers.stop)
        self.register(replica)


def stream_frame(replica: FakeReplica) -> str:
    """Return the header that says how a stream of a replica ends."""
    faults = replica.faults
    if faults.states_length:
        events = [encode_event(number + 1) for number in range(faults.stop_after + 1)]
        return f"Content-Length: {len(b''.join(events)) - CUT_BYTES}"
    return "Connection: close" if faults.unframed else "Transfer-Encoding: chunked"


def encode_event(number: int) -> bytes:
    """Return an event of a stream, by its number from 1."""
    return f"id: {number}\ndata: word-{number}\n\n".encode()


def has_lost_caller(
    replica: FakeReplica,
    request: RequestReader,
    writer: asyncio.StreamWriter,
    disconnect: asyncio.Future[bytes],
) -> bool:
    """Return whether a stream's connection has ended; record it unless by a crash."""
    # A crash closes the writer.
    has_crashed = writer.is_closing()
    if disconnect.done() and not has_crashed:
        replica.broken_runs.append(request.fields["request-id"])
    return disconnect.done() or has_crashed


async def wait_while_silent(replica: FakeReplica) -> None:
    """Wait until a replica is no longer silent."""
    loop = asyncio.get_running_loop()
    until = -math.inf
    # The silence may be prolonged meanwhile.
    while replica.faults.silent_until > until:
        until = replica.faults.silent_until
        await asyncio.sleep(max(0.0, until - loop.time()))


async def send_endlessly(
    replica: FakeReplica, writer: asyncio.StreamWriter, request: RequestReader
) -> bool:
    """
    Send a head, a body or an event without end until the caller closes.

    Returns that the connection does not stay open.
    """
    if replica.faults.endless == "head":
        writer.write(b"HTTP/1.1 200 -\r\n")
        data = b"X-Filler: %b\r\n" % (b"x" * 1000) * (ENDLESS_BYTES // 1000)
    else:
        if replica.faults.endless == "body":
            writer.write(encode_head(replica, request, 200, "Connection: close"))
        data = b"x" * ENDLESS_BYTES
        is_chunked = replica.faults.endless == "event" and not replica.faults.unframed
        data = encode_chunk(data) if is_chunked else data
    while not writer.is_closing():
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(ENDLESS_INTERVAL)
    return False


def record_run(replica: FakeReplica, request: RequestReader) -> None:
    """Record that a replica has started to run a request."""
    run = Run(
        request.fields.get("request-id", ""),
        request.method,
        request.target,
        dict(request.fields),
        request.body,
        asyncio.get_running_loop().time(),
    )
    replica.runs.append(run)
