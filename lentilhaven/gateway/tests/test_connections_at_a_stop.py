import asyncio
import socket
import unittest
from contextlib import asynccontextmanager

import attrs

from lentilhaven.gateway.caller_connection import (
    HEAD_SLACK,
    LAST_IDLE_TIME,
    close_idle_connections,
    current_limits,
)
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.listeners import CallerListener
from lentilhaven.gateway.tests.raw_caller import RawAnswer, RawCaller, raw_request
from lentilhaven.gateway.tests.wire_testbed import listening_port, open_wire_gateway

#: Number of callers that connect at the same time.
CALLERS = 5


@attrs.define
class Wire:
    """A gateway that listens on the loopback interface."""

    gateway: Gateway
    listener: CallerListener

    @property
    def port(self) -> int:
        """Return the port for callers."""
        return listening_port(self.listener)

    def send_at_once(self, number: int) -> socket.socket:
        """Connect and send a whole request before the event loop runs again."""
        caller = socket.create_connection(("127.0.0.1", self.port))
        caller.sendall(raw_request(f"/look/{number}", f"x{number}"))
        return caller

    async def stop(self) -> None:
        """Stop as the gateway does when it no longer accepts requests."""
        self.gateway.leaving = self.gateway.refuses_requests = True
        await self.listener.stop()
        until = asyncio.get_running_loop().time() + 2.0
        await self.listener.close_connections(until)


@asynccontextmanager
async def open_wire():
    """Open a gateway without endpoints, which refuses every request."""
    async with open_wire_gateway([]) as (gateway, listener):
        yield Wire(gateway, listener)


async def read_answer(caller: socket.socket) -> RawAnswer | None:
    """Return the answer that a caller gets, or None if there is none."""
    caller.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=caller)
    try:
        return await RawCaller(reader, writer).read_answer()
    finally:
        writer.close()


class StopTests(unittest.TestCase):
    """Whole requests got neither an answer nor a refusal beside a stop (issue 37)."""

    def check_refused(self, answers):
        """Check that each request was refused as not run."""
        for answer in answers:
            self.assertIsNotNone(answer, "the connection ended without an answer")
            self.assertTrue(answer.complete)
            self.assertEqual((answer.status, answer.idle_time), (503, 0.0))
            self.assertIn("retry-after", answer.headers)

    # Guards against the reset of connections that wait when the listener is closed.
    def test_connections_that_wait_to_be_accepted_are_answered(self):
        async def scenario():
            async with open_wire() as wire:
                callers = [wire.send_at_once(number) for number in range(CALLERS)]
                await wire.stop()
            return [await read_answer(caller) for caller in callers]

        self.check_refused(asyncio.run(scenario()))

    # Guards against an end of the process before an accepted connection is served.
    def test_connections_that_were_just_accepted_are_answered(self):
        async def scenario(steps):
            async with open_wire() as wire:
                callers = [wire.send_at_once(number) for number in range(CALLERS)]
                for _ in range(steps):
                    await asyncio.sleep(0)
                await wire.stop()
            return [await read_answer(caller) for caller in callers]

        for steps in range(1, 6):
            with self.subTest(steps=steps):
                self.check_refused(asyncio.run(scenario(steps)))

    # Guards against the close of a used connection with an unread request.
    def test_a_request_that_has_arrived_on_an_idle_connection_is_answered(self):
        async def scenario():
            async with open_wire() as wire:
                caller = wire.send_at_once(1)
                stream = await asyncio.open_connection(sock=caller)
                await RawCaller(*stream).read_answer()
                await asyncio.sleep(LAST_IDLE_TIME + 0.1)
                wire.gateway.leaving = wire.gateway.refuses_requests = True
                caller.send(raw_request("/look/2", "x2"))
                now = asyncio.get_running_loop().time()
                for connection in wire.listener.http_server.connections:
                    connection.end(now)
                return [await RawCaller(*stream).read_answer()]

        self.check_refused(asyncio.run(scenario()))


class LateHeadTests(unittest.TestCase):
    """Whole requests were refused with 408, or reset, while their end was unread."""

    def send_in_two_parts(self, check, delay):
        """Return the answer if the end of a head is unread when it is checked."""

        async def scenario():
            async with open_wire() as wire:
                caller = socket.create_connection(("127.0.0.1", wire.port))
                request = raw_request("/look/1", "x1")
                caller.sendall(request[:40])
                # The event loop accepts the connection and reads the first part.
                await asyncio.sleep(0.05)
                caller.sendall(request[40:])
                check(wire, asyncio.get_running_loop().time() + delay(wire))
                return await read_answer(caller)

        answer = asyncio.run(scenario())
        self.assertIsNotNone(answer, "the connection ended without an answer")
        self.assertEqual(answer.status, 503)

    # Guards against the check at a stop, which comes before the next reading.
    def test_head_that_has_arrived_at_a_stop_is_read(self):
        def check(wire, now):
            wire.gateway.leaving = wire.gateway.refuses_requests = True
            for connection in wire.listener.http_server.connections:
                connection.end(now)

        self.send_in_two_parts(check, lambda wire: LAST_IDLE_TIME + 0.1)

    # Guards against the periodic check, which comes before the next reading.
    def test_head_that_has_arrived_at_the_limit_is_read(self):
        def check(wire, now):
            close_idle_connections(wire.gateway, wire.listener.http_server, now)

        def delay(wire):
            return current_limits(wire.gateway).header_timeout + HEAD_SLACK + 0.1

        self.send_in_two_parts(check, delay)
