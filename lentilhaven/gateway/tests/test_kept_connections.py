import asyncio
import unittest

import attrs
from aiohttp import web

from lentilhaven.draining.stop_schedule import ACCEPT_TIME
from lentilhaven.gateway.caller_connection import (
    CallerConnection,
    close_idle_connections,
)
from lentilhaven.gateway.listeners import CallerListener, open_caller_listener
from lentilhaven.gateway.program import drain
from lentilhaven.gateway.tests.platform_testbed import (
    plain_replicas,
    run_on_testbed,
    sample_manifest,
    two_chains,
)
from lentilhaven.gateway.tests.raw_caller import RawCaller, raw_request

#: Port of the listener that a test closes or whose connections it looks at.
PORT = 7500

#: Seconds within which a gateway has read an edit.
EDIT_TIME = 0.5

#: Number of steps of the event loop over which a request arrives and begins to run.
STEPS = 8

#: Seconds after which any idle limit of these tests has passed.
LONG = 1000.0


def limits_edit(version, idle_ms):
    """Return a manifest with another idle timeout, in milliseconds."""
    limits = {"max_body_bytes": 1_000_000, "idle_timeout_ms": idle_ms}
    return sample_manifest(version, limits=limits)


def run_with_listener(scenario):
    """Run ``scenario(bed, gateway, listener)`` with a second listener on `PORT`."""

    async def main(bed):
        gateway = bed.gateways[0]
        address = f"{gateway.settings.address}:{PORT}"
        gateway.settings = attrs.evolve(gateway.settings, callers=address)
        async with open_caller_listener(gateway) as listener:
            return await scenario(bed, gateway, listener)

    return run_on_testbed(main, two_chains() + plain_replicas())


async def pass_steps(count):
    """Let the event loop take some steps without a wait."""
    for _ in range(count):
        await asyncio.sleep(0)


class PromiseTests(unittest.TestCase):
    """An edit closed connections that their callers had reason to use (issue 25)."""

    def run_edits(self, scenario, idle_ms=30_000):
        return run_on_testbed(
            scenario, plain_replicas(), manifest=limits_edit(1, idle_ms)
        )

    def test_an_answer_states_how_long_its_connection_may_be_idle(self):
        async def scenario(bed):
            caller = await RawCaller.connect()
            return await caller.ask(raw_request())

        for idle_ms, stated in ((30_000, 30.0), (2_999, 2.0), (1_000, 1.0)):
            with self.subTest(idle_ms=idle_ms):
                self.assertEqual(self.run_edits(scenario, idle_ms).idle_time, stated)

    def test_a_limit_below_a_second_ends_the_connection(self):
        async def scenario(bed):
            caller = await RawCaller.connect()
            answer = await caller.ask(raw_request())
            return answer, await caller.wait_for_close(0.5)

        answer, closed = self.run_edits(scenario, 999)
        self.assertEqual((answer.status, answer.idle_time), (200, 0.0))
        self.assertTrue(closed)

    def test_a_shorter_limit_does_not_shorten_a_promise(self):
        async def scenario(bed):
            caller = await RawCaller.connect()
            await caller.ask(raw_request())
            bed.store.put("config", "main", limits_edit(2, 1_000))
            await asyncio.sleep(29.0)
            kept = not caller.sees_close
            return kept, await caller.ask(raw_request())

        kept, answer = self.run_edits(scenario)
        self.assertTrue(kept)
        self.assertEqual((answer.status, answer.idle_time), (200, 1.0))

    def test_a_connection_without_a_request_keeps_the_limit_of_its_opening(self):
        async def scenario(bed):
            caller = await RawCaller.connect()
            bed.store.put("config", "main", limits_edit(2, 1_000))
            await asyncio.sleep(29.0)
            return await caller.ask(raw_request())

        self.assertEqual(self.run_edits(scenario).status, 200)

    def test_a_connection_closes_once_its_promise_has_passed(self):
        async def scenario(bed):
            caller = await RawCaller.connect()
            await caller.ask(raw_request())
            bed.store.put("config", "main", limits_edit(2, 1_000))
            return await caller.wait_for_close(34.0)

        self.assertTrue(self.run_edits(scenario))

    def test_the_next_answer_follows_the_edit(self):
        async def scenario(bed):
            caller = await RawCaller.connect()
            await caller.ask(raw_request())
            bed.store.put("config", "main", limits_edit(2, 2_000))
            await asyncio.sleep(EDIT_TIME)
            answer = await caller.ask(raw_request())
            return answer, await caller.wait_for_close(6.0)

        answer, closed = self.run_edits(scenario)
        self.assertEqual(answer.idle_time, 2.0)
        self.assertTrue(closed)

    def test_a_longer_limit_applies_at_once(self):
        async def scenario(bed):
            callers = [await RawCaller.connect() for _ in range(2)]
            await callers[0].ask(raw_request())
            bed.store.put("config", "main", limits_edit(2, 30_000))
            await asyncio.sleep(29.0)
            return [await caller.ask(raw_request()) for caller in callers]

        answers = self.run_edits(scenario, 2_000)
        self.assertEqual([answer.status for answer in answers], [200, 200])


class ReceivedRequestTests(unittest.TestCase):
    """The idle check closed connections on which a request had arrived (issue 25)."""

    def test_a_request_that_was_just_read_is_answered(self):
        async def scenario(bed, gateway, listener, steps):
            caller = await RawCaller.connect(PORT)
            await caller.ask(raw_request())
            (connection,) = listener.http_server.connections
            connection.data_received(raw_request("/look/2", "x2"))
            await pass_steps(steps)
            now = asyncio.get_running_loop().time()
            close_idle_connections(gateway, listener.http_server, now + LONG)
            return await caller.read_answer()

        for steps in range(STEPS):
            with self.subTest(steps=steps):
                answer = run_with_listener(
                    lambda *it, steps=steps: scenario(*it, steps)
                )
                self.assertIsNotNone(answer)
                self.assertEqual(answer.status, 200)

    def test_a_request_whose_head_has_begun_to_arrive_is_answered(self):
        async def scenario(bed, gateway, listener, first):
            caller = await RawCaller.connect(PORT)
            if not first:
                await caller.ask(raw_request())
            await asyncio.sleep(31.5)
            request = raw_request("/look/2", "x2")
            caller.writer.write(request[:30])
            await asyncio.sleep(8.0)
            return await caller.ask(request[30:])

        for first in (True, False):
            with self.subTest(first=first):
                answer = run_with_listener(
                    lambda *it, first=first: scenario(*it, first)
                )
                self.assertIsNotNone(answer)
                self.assertEqual(answer.status, 200)

    def test_a_head_that_has_begun_behind_another_request_is_answered(self):
        """The body of the request before it has arrived, its answer has not."""

        async def scenario(bed, gateway, listener, first):
            bed.store.put("config", "main", limits_edit(2, 1_000))
            await asyncio.sleep(EDIT_TIME)
            caller = await RawCaller.connect(PORT)
            request = raw_request("/look/2", "x2")
            caller.writer.write(first)
            # The request before is read, and runs for 0.01 s.
            await asyncio.sleep(0.005)
            caller.writer.write(request[:30])
            await caller.read_answer()
            await asyncio.sleep(8.0)
            return await caller.ask(request[30:])

        for first in (raw_request(), raw_request("/post/1", "x1", b"count 7")):
            with self.subTest(first=first):
                answer = run_with_listener(
                    lambda *it, first=first: scenario(*it, first)
                )
                self.assertIsNotNone(answer)
                self.assertEqual(answer.status, 200)

    def test_a_body_that_arrives_in_parts_begins_no_head(self):
        async def scenario(bed, gateway, listener):
            caller = await RawCaller.connect(PORT)
            request = raw_request("/post/1", "x1", b"count 7")
            caller.writer.write(request[:-4])
            await asyncio.sleep(0.1)
            answer = await caller.ask(request[-4:])
            (connection,) = listener.http_server.connections
            return answer.status, connection.head_began, connection.is_idle()

        self.assertEqual(run_with_listener(scenario), (200, None, True))

    def test_a_request_behind_one_for_an_upgrade_leaves_no_head(self):
        async def scenario(bed, gateway, listener):
            caller = await RawCaller.connect(PORT)
            upgrade = b"\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
            first = raw_request().replace(b"\r\n\r\n", upgrade)
            caller.writer.write(first)
            await asyncio.sleep(0.005)
            caller.writer.write(raw_request("/look/2", "x2"))
            answers = [await caller.read_answer() for _ in range(2)]
            (connection,) = listener.http_server.connections
            return [it.status for it in answers], connection.is_idle()

        self.assertEqual(run_with_listener(scenario), ([200, 200], True))

    def test_a_head_that_takes_too_long_is_refused(self):
        async def scenario(bed, gateway, listener):
            caller = await RawCaller.connect(PORT)
            caller.writer.write(raw_request()[:30])
            answer = await caller.read_answer(14.0)
            return answer, await caller.wait_for_close(0.1), bed.fleet.runs

        answer, closed, runs = run_with_listener(scenario)
        self.assertEqual((answer.status, answer.idle_time), (408, 0.0))
        self.assertTrue(answer.complete and closed)
        self.assertEqual(runs, [])

    def test_a_blank_line_after_a_request_begins_no_head(self):
        async def scenario(bed, gateway, listener):
            caller = await RawCaller.connect(PORT)
            await caller.ask(raw_request())
            caller.writer.write(b"\r\n")
            await asyncio.sleep(20.0)
            return await caller.ask(raw_request("/look/2", "x2"))

        self.assertEqual(run_with_listener(scenario).status, 200)

    def run_slow_reader(self, scenario):
        """Run ``scenario(bed, server, caller)`` with a caller that reads later."""

        async def main(bed):
            server = web.Server(answer_at_length)
            loop = asyncio.get_running_loop()
            await loop.create_server(lambda: CallerConnection(server), "10.0.0.1", PORT)
            caller = await RawCaller.connect(PORT, unread_bytes=1000)
            caller.writer.write(raw_request())
            await asyncio.sleep(60.0)
            return await scenario(bed, server, caller)

        return run_on_testbed(main, [])

    def test_the_promise_begins_with_the_end_of_the_answer(self):
        async def scenario(bed, server, caller):
            answer = await caller.read_answer()
            now = asyncio.get_running_loop().time()
            close_idle_connections(bed.gateways[0], server, now + 25.0)
            await asyncio.sleep(0.1)
            return answer, caller.sees_close

        answer, closed = self.run_slow_reader(scenario)
        self.assertTrue(answer.complete)
        self.assertFalse(closed)

    def test_an_answer_that_is_read_slowly_is_not_cut_off(self):
        async def scenario(bed, server, caller):
            now = asyncio.get_running_loop().time()
            close_idle_connections(bed.gateways[0], server, now + LONG)
            return await caller.read_answer()

        self.assertTrue(self.run_slow_reader(scenario).complete)

    def test_a_refusal_that_does_not_wait_for_the_body_reaches_the_caller(self):
        async def scenario(bed, gateway, listener):
            caller = await RawCaller.connect(PORT)
            request = raw_request("/nowhere/1", body=b"z" * 50_000)
            caller.writer.write(request[:2_000])
            await asyncio.sleep(0.05)
            caller.writer.write(request[2_000:])
            answer = await caller.read_answer()
            if answer.idle_time == 0:
                return answer, None
            return answer, await caller.ask(raw_request("/look/2", "x2"))

        refusal, following = run_with_listener(scenario)
        self.assertEqual((refusal.status, refusal.complete), (404, True))
        if refusal.idle_time:
            self.assertEqual(following.status, 200)


async def answer_at_length(request):
    """Return a body that a slow reader does not read at once."""
    return web.Response(body=b"z" * 2_000_000)


async def refuse_unread(request):
    """Refuse a request without its body."""
    return web.Response(status=404)


class ResetTests(unittest.TestCase):
    """A connection that closes before the rest of a body arrives is reset."""

    async def send_on_after_refusal(self):
        """Send the rest of a body after the refusal, over loopback."""
        server = web.Server(refuse_unread)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: CallerConnection(server), "127.0.0.1", 0
        )
        port = listener.sockets[0].getsockname()[1]
        caller = await RawCaller.connect(port, "127.0.0.1")
        request = raw_request("/nowhere/1", body=b"z" * 1_000_000)
        answer = await caller.ask(request[:2_000])
        for start in range(2_000, len(request), 50_000):
            caller.writer.write(request[start : start + 50_000])
            await caller.writer.drain()
        caller.writer.close()
        await caller.writer.wait_closed()
        listener.close()
        await server.shutdown(0.1)
        return answer

    def test_the_rest_of_a_refused_body_is_taken(self):
        self.assertEqual(asyncio.run(self.send_on_after_refusal()).status, 404)


class LeavingTests(unittest.TestCase):
    """Requests on kept connections were read and dropped at a shutdown (issue 25)."""

    def test_a_request_that_was_just_read_is_answered(self):
        async def scenario(bed, gateway, listener, steps):
            caller = await RawCaller.connect(PORT)
            await caller.ask(raw_request())
            (connection,) = listener.http_server.connections
            gateway.leaving = True
            connection.data_received(raw_request("/look/2", "x2"))
            await pass_steps(steps)
            gateway.refuses_requests = True
            await listener.stop()
            return await caller.read_answer()

        for steps in range(STEPS):
            with self.subTest(steps=steps):
                answer = run_with_listener(
                    lambda *it, steps=steps: scenario(*it, steps)
                )
                self.assertIsNotNone(answer)
                self.assertIn(answer.status, (200, 503))
                self.assertEqual(answer.idle_time, 0.0)

    def test_a_head_that_has_begun_to_arrive_is_refused_once_it_is_whole(self):
        async def scenario(bed, gateway, listener):
            caller = await RawCaller.connect(PORT)
            await caller.ask(raw_request())
            request = raw_request("/post/2", "x2", body=b"")
            shutdown = asyncio.ensure_future(drain(gateway, listener))
            await asyncio.sleep(ACCEPT_TIME - 0.01)
            caller.writer.write(request[:30])
            await asyncio.sleep(0.05)
            answer = await caller.ask(request[30:])
            await shutdown
            return answer

        answer = run_with_listener(scenario)
        self.assertIsNotNone(answer)
        self.assertEqual((answer.status, answer.idle_time), (503, 0.0))

    def test_a_head_that_began_behind_another_request_is_refused(self):
        async def scenario(bed, gateway, listener):
            caller = await RawCaller.connect(PORT)
            caller.writer.write(raw_request("/draft/1", "x1", b"", 600))
            await asyncio.sleep(0.2)
            shutdown = asyncio.ensure_future(drain(gateway, listener))
            await asyncio.sleep(ACCEPT_TIME - 0.1)
            caller.writer.write(raw_request("/post/2", "x2", body=b"")[:30])
            stream = await caller.read_answer(20.0)
            refusal = await caller.read_answer()
            await shutdown
            return stream, refusal

        stream, refusal = run_with_listener(scenario)
        self.assertTrue(stream.complete)
        self.assertIsNotNone(refusal)
        self.assertEqual((refusal.status, refusal.idle_time), (408, 0.0))

    def test_a_head_that_stays_incomplete_is_refused_and_holds_nothing_up(self):
        async def scenario(bed, gateway, listener):
            caller = await RawCaller.connect(PORT)
            await caller.ask(raw_request())
            began = asyncio.get_running_loop().time()
            shutdown = asyncio.ensure_future(drain(gateway, listener))
            await asyncio.sleep(ACCEPT_TIME - 0.01)
            caller.writer.write(raw_request("/post/2", "x2", body=b"")[:30])
            answer = await caller.read_answer()
            await shutdown
            return answer, asyncio.get_running_loop().time() - began

        answer, took = run_with_listener(scenario)
        self.assertIsNotNone(answer)
        self.assertEqual((answer.status, answer.idle_time), (408, 0.0))
        self.assertLess(took, ACCEPT_TIME + 1.0)

    def test_an_answer_that_is_read_slowly_is_finished(self):
        async def scenario(bed):
            server = web.Server(answer_at_length)
            loop = asyncio.get_running_loop()

            def make_connection():
                return CallerConnection(server)

            tcp_server = await loop.create_server(make_connection, "10.0.0.1", PORT)
            listener = CallerListener(tcp_server, server, make_connection)
            caller = await RawCaller.connect(PORT, unread_bytes=1000)
            caller.writer.write(raw_request())
            await asyncio.sleep(0.1)
            await listener.stop()
            closing = asyncio.ensure_future(
                listener.close_connections(loop.time() + 5.0)
            )
            await asyncio.sleep(3.0)
            answer = await caller.read_answer()
            await closing
            return answer

        self.assertTrue(run_on_testbed(scenario, []).complete)

    def test_all_requests_that_were_sent_together_are_answered(self):
        async def scenario(bed, gateway, listener):
            caller = await RawCaller.connect(PORT)
            paths = [f"/look/{number}" for number in range(3)]
            requests = [raw_request(path, path[-1]) for path in paths]
            gateway.leaving = True
            caller.writer.write(b"".join(requests))
            await asyncio.sleep(0.005)
            gateway.refuses_requests = True
            await listener.stop()
            return [await caller.read_answer() for _ in requests]

        answers = run_with_listener(scenario)
        self.assertNotIn(None, answers)
        self.assertEqual([it.status for it in answers], [200, 503, 503])
        self.assertEqual(answers[-1].idle_time, 0.0)
        self.assertNotIn(0.0, [it.idle_time for it in answers[:-1]])

    def test_a_request_after_a_stream_that_began_before_is_refused(self):
        async def scenario(bed, gateway, listener):
            caller = await RawCaller.connect(PORT)
            shutdown = None
            stream = asyncio.ensure_future(
                caller.ask(raw_request("/draft/1", "x1", b"", 800), 20.0)
            )
            await asyncio.sleep(0.5)
            shutdown = asyncio.ensure_future(drain(gateway, listener))
            answer = await stream
            following = await caller.ask(raw_request("/post/2", "x2", b""))
            await shutdown
            return answer, following, bed.fleet.runs

        stream, following, runs = run_with_listener(scenario)
        self.assertTrue(stream.complete)
        self.assertIsNotNone(following)
        self.assertEqual((following.status, following.idle_time), (503, 0.0))
        self.assertIn("retry-after", following.headers)
        self.assertEqual([run.request_id for run in runs], ["x1"])

    def test_a_request_after_a_stream_is_answered_while_requests_are_taken(self):
        async def scenario(bed, gateway, listener):
            caller = await RawCaller.connect(PORT)
            stream = asyncio.ensure_future(
                caller.ask(raw_request("/draft/1", "x1", b"", 80), 20.0)
            )
            await asyncio.sleep(0.1)
            shutdown = asyncio.ensure_future(drain(gateway, listener))
            await stream
            following = await caller.ask(raw_request("/look/2", "x2"))
            await shutdown
            return following

        following = run_with_listener(scenario)
        self.assertIsNotNone(following)
        self.assertEqual((following.status, following.idle_time), (200, 0.0))
