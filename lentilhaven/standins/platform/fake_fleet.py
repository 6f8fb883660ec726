"""The replicas of a test, their registrations and their connections."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs

from lentilhaven.standins.platform.fake_replica import FakeReplica, Run
from lentilhaven.standins.platform.fake_store import FakeStore
from lentilhaven.standins.platform.replica_wire import (
    RequestReader,
    answer,
    answer_json,
    chunk,
    decode_path,
    encode_answer,
    encode_head,
    read_request,
)

#: Seconds after which work behind a dead part of a chain is cut off.
STALL = 3.0

#: Seconds for which a dark replica holds a connection.
DARK = 3600.0


@attrs.define(eq=False)
class FakeFleet:
    """
    Replicas that know each other.

    Attributes
    ----------
    store : FakeStore
        Where they register.
    replicas : dict
        `FakeReplica` by id.
    layers : int
        Layers of the model.
    moved : dict
        Parts of chains that were replaced under a stream, by the request's id.
    refused : int
        Requests that were turned away since a part of their chain was not there.
    wrong_paths : list of str
        Chains that did not run each layer once and in order.
    """

    store: FakeStore
    replicas: dict[str, FakeReplica] = attrs.field(factory=dict)
    layers: int = 8
    moved: dict[str, list[tuple[str, int, int]]] = attrs.field(factory=dict)
    refused: int = 0
    wrong_paths: list[str] = attrs.field(factory=list)

    def register(self, replica: FakeReplica) -> None:
        """Write a replica's entry."""
        self.store.put("servers", replica.id, replica.entry())

    def at(self, address: str) -> FakeReplica | None:
        """Return the replica at an address."""
        for replica in self.replicas.values():
            if replica.address == address:
                return replica
        return None

    @property
    def runs(self) -> list[Run]:
        """Return everything that any replica has run."""
        return [run for replica in self.replicas.values() for run in replica.runs]

    @asynccontextmanager
    async def open(self, *replicas: FakeReplica) -> AsyncIterator["FakeFleet"]:
        """Listen for all replicas, and register them."""
        servers = []
        for replica in replicas:
            self.replicas[replica.id] = replica
            serve = self.make_connection_handler(replica)
            host = replica.listen_host or replica.host
            servers.append(await asyncio.start_server(serve, host, replica.port))
            self.register(replica)
        try:
            yield self
        finally:
            for server in servers:
                server.close()

    def make_connection_handler(self, replica: FakeReplica) -> Any:
        """Return the function that serves one connection."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                while await self.serve_one(replica, reader, writer):
                    pass
            writer.close()

        return serve

    async def serve_one(
        self,
        replica: FakeReplica,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request; return whether the connection goes on."""
        request = await read_request(reader, replica.faults.early)
        if request is None:
            return False
        if replica.faults.dark:
            await asyncio.sleep(DARK)
        expected = request.fields.get("expect-replica", replica.id)
        if expected != replica.id:
            return await answer(writer, request, 421, b"", not_run=True)
        if request.target == "/report":
            return await answer_json(writer, request, replica.report())
        if request.target == "/order":
            return await self.take_order(replica, request, writer)
        if replica.faults.shed:
            return await answer(writer, request, 503, b"", not_run=True)
        if "hop-count" in request.fields:
            return await self.serve_chain(replica, request, reader, writer)
        return await self.serve_plain(replica, request, writer)

    async def serve_plain(
        self,
        replica: FakeReplica,
        request: RequestReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request of a plain service."""
        note_run(replica, request)
        faults = replica.faults
        await asyncio.sleep(0.01 + faults.delay)
        if faults.lose_answer:
            writer.transport.abort()
            return False
        body = f"{replica.id} {request.method} {request.target}".encode() * 3
        status = 500 if faults.fail else 200
        before = replica.last_answer if faults.extra else b""
        sent = encode_answer(replica, request, status, body, faults.unframed)
        replica.last_answer = sent
        writer.write(before + (sent[:-5] if faults.truncate else sent))
        await writer.drain()
        return not (faults.truncate or faults.unframed or faults.early)

    async def serve_chain(
        self,
        replica: FakeReplica,
        request: RequestReader,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a generation over a chain."""
        path = request.fields["hop-count"]
        parts = decode_path(path)
        self.check_path(path, parts)
        for address, start, end in parts:
            part = self.at(address)
            if part is None or part.draining:
                self.refused += 1
                return await answer(writer, request, 503, b"", True, address)
            held = part.span
            if held is None or not (held[0] <= start and end <= held[1]):
                self.refused += 1
                return await answer(writer, request, 421, b"", True, address)
        note_run(replica, request)
        watch = asyncio.ensure_future(reader.read(1))
        try:
            return await self.stream(replica, request, parts, writer, watch)
        finally:
            watch.cancel()
            await asyncio.wait([watch])

    async def stream(
        self,
        replica: FakeReplica,
        request: RequestReader,
        parts: list[tuple[str, int, int]],
        writer: asyncio.StreamWriter,
        watch: asyncio.Future[bytes],
    ) -> bool:
        """Send events while all parts of the chain work."""
        _, _, output = request.fields.get("token-count", "8,40").partition(",")
        last = int(output) // 4
        begin = int(request.fields.get("last-event-id") or 0)
        await asyncio.sleep(replica.event_time)
        writer.write(encode_head(replica, request, 200, "Transfer-Encoding: chunked"))
        for number in range(begin + 1, last + 1):
            if not await self.wait_for_parts(request.fields["request-id"], parts):
                writer.transport.abort()
                return False
            if watch.done():
                replica.broken_runs.append(request.fields["request-id"])
                return False
            event = f"id: {number}\ndata: word-{number}\n\n".encode()
            if replica.faults.stop_after and number > replica.faults.stop_after:
                writer.write(chunk(event[:-4]))
                await writer.drain()
                writer.transport.abort()
                return False
            writer.write(chunk(event))
            await writer.drain()
            await asyncio.sleep(replica.event_time + replica.faults.delay)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def wait_for_parts(
        self, request_id: str, parts: list[tuple[str, int, int]]
    ) -> bool:
        """Wait while a part is dark; return False once it has stalled for long."""
        loop = asyncio.get_running_loop()
        until = loop.time() + STALL
        while True:
            present = self.moved.get(request_id, parts)
            if not any(self.is_dead(address) for address, _, _ in present):
                return True
            if loop.time() >= until:
                return False
            await asyncio.sleep(0.05)

    def is_dead(self, address: str) -> bool:
        """Return whether the part of a chain does not work."""
        part = self.at(address)
        return part is None or part.faults.dark

    def check_path(self, path: str, parts: list[tuple[str, int, int]]) -> None:
        """Note a chain that does not run each layer once and in order."""
        at = 0
        for _, start, end in parts:
            if start != at:
                self.wrong_paths.append(path)
                return
            at = end
        if at != self.layers:
            self.wrong_paths.append(path)

    async def take_order(
        self,
        replica: FakeReplica,
        request: RequestReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Take an order, with its fencing number and its count of orders."""
        order = json.loads(request.body)
        if order["operation"] == "repath":
            parts = decode_path(order["path"])
            self.check_path(order["path"], parts)
            self.moved[order["id"]] = parts
            return await answer(writer, request, 202, b"")
        fence = order.get("fencing_token", 0)
        if fence < replica.fence:
            return await answer(writer, request, 412, b"")
        replica.fence = fence
        if order.get("precondition", replica.orders) != replica.orders:
            return await answer(writer, request, 409, b"")
        replica.orders += 1
        task = asyncio.ensure_future(self.carry_out(replica, order))
        task.add_done_callback(lambda done: done.cancelled() or done.result())
        return await answer(writer, request, 202, b"")

    async def carry_out(self, replica: FakeReplica, order: dict[str, Any]) -> None:
        """Load layers and register them."""
        await replica.place(order["from"], order["target"])
        self.register(replica)


def note_run(replica: FakeReplica, request: RequestReader) -> None:
    """Note that a replica began to work on a request."""
    run = Run(
        request.fields.get("request-id", ""),
        request.method,
        request.target,
        dict(request.fields),
        request.body,
        asyncio.get_running_loop().time(),
    )
    replica.runs.append(run)
