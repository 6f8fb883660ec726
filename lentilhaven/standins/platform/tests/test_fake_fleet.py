import asyncio
import socket
import unittest
from contextlib import asynccontextmanager
from unittest import mock

from lentilhaven.standins.platform import FakeFleet, FakeReplica, FakeStore, fake_fleet
from lentilhaven.standins.platform.fake_fleet import PIECE_BYTES
from lentilhaven.standins.platform.fake_replica import CrashingRequest
from lentilhaven.standins.virtual import run_virtual

#: Seconds for which a replica is silent, and after which a crashed one is back.
SILENCE = CRASH_TIME = 1.0

#: Shorter times after which a crashed replica is back, and after which a silent stream
#: is given up.
SHORT_TIME, STALL_TIME = 0.2, 0.8

#: Part of prompts that crashes engines.
PART = "bad1"

#: Every fault must act alike in memory and over sockets, which the soak uses.
RUNNERS = (run_virtual, asyncio.run)


def free_ports(count):
    """Return ports of the loopback address that nobody uses."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


@asynccontextmanager
async def open_fleet():
    """Yield a fleet of a plain replica and a chain of two engines."""
    ports = free_ports(3)
    plain = FakeReplica("i-0", "stock", "127.0.0.1", ports[0])
    first, last = (
        FakeReplica(f"i-{it}", "gen", "127.0.0.1", ports[it], card="small", span=span)
        for it, span in ((1, (0, 4)), (2, (4, 8)))
    )
    fleet = FakeFleet(FakeStore(), crashing_part=PART, crash_time=CRASH_TIME)
    async with fleet.open(plain, first, last):
        yield fleet


def silence(replica):
    """Let a replica send nothing for `SILENCE` seconds from now."""
    replica.faults.silent_until = asyncio.get_running_loop().time() + SILENCE


async def send(fleet, replica_id, part="good"):
    """Send a request for four events, or to the plain replica, and return streams."""
    replica = fleet.replicas[replica_id]
    reader, writer = await asyncio.open_connection(replica.host, replica.port)
    path = f"{fleet.replicas['i-1'].address}=0-4,{fleet.replicas['i-2'].address}=4-8"
    hops = f"Hop-Count: {path}\r\nToken-Count: 100,16\r\n" if replica.card else ""
    writer.write(
        f"GET /a/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\n{hops}"
        f"Prompt-Prefix: 5c1e:40,{part}:60\r\n\r\n".encode()
    )
    return reader, writer


async def read_all(reader, writer):
    """Return all bytes until the end, and whether the end was a reset."""
    data = b""
    try:
        while part := await reader.read(65_536):
            data += part
        return data, False
    except ConnectionResetError:
        return data, True
    finally:
        writer.close()


class FaultTestCase(unittest.TestCase):
    """Runs scenarios with a fleet of their own."""

    def check(self, scenario, runners=RUNNERS):
        """Run a scenario on each kind of connection, each with a fleet of its own."""

        async def main(runner):
            async with open_fleet() as fleet:
                await asyncio.wait_for(scenario(fleet, runner), 20.0)

        for runner in runners:
            with self.subTest(runner=runner.__name__):
                runner(main(runner))

    async def read_head(self, streams):
        reader, writer = streams
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head


class FaultTests(FaultTestCase):
    """Guard against a fault that a test or the soak asks for and nobody plays."""

    def test_crash_on_a_part_of_the_prompt_and_return(self):
        async def scenario(fleet, runner):
            loop = asyncio.get_running_loop()
            engine = fleet.replicas["i-1"]
            sound, broken = await send(fleet, "i-1"), await send(fleet, "i-1", PART)
            began = loop.time()
            self.assertEqual((await read_all(*broken))[0], b"")
            # The crash breaks off the other streams of the engine as well.
            self.assertNotIn(b"id: 4", (await read_all(*sound))[0])
            self.assertEqual(len(engine.crashes), 1)
            with self.assertRaises(OSError):
                await send(fleet, "i-1")
            await asyncio.gather(*fleet.crash_tasks)
            self.assertGreaterEqual(loop.time() - began, CRASH_TIME)
            self.assertIsNone(engine.span)
            answer = await self.read_head(await send(fleet, "i-1"))
            self.assertIn(b" 421 ", answer)
            self.assertEqual((fleet.crash_tasks, engine.broken_runs), (set(), []))

        self.check(scenario)

    def test_crashed_engine_keeps_its_layers_if_asked(self):
        async def scenario(fleet, runner):
            fleet.keeps_layers = True
            await read_all(*await send(fleet, "i-1", PART))
            await asyncio.gather(*fleet.crash_tasks)
            self.assertIn(b" 200 ", await self.read_head(await send(fleet, "i-1")))

        self.check(scenario)

    def test_fleet_that_ends_during_a_crash_leaves_no_server(self):
        async def main():
            async with open_fleet() as fleet:
                await read_all(*await send(fleet, "i-1", PART))
            await asyncio.sleep(CRASH_TIME * 2)
            with self.assertRaises(OSError):
                await send(fleet, "i-1")

        run_virtual(main())

    def check_silence(self, silent_id, called_id, delay, last):
        """Check that an answer waits for a silence that begins during it."""

        async def scenario(fleet, runner):
            reader, writer = await send(fleet, called_id)
            await asyncio.sleep(delay)
            replica = fleet.replicas[silent_id]
            silence(replica)
            data = await reader.readuntil(last)
            self.assertGreaterEqual(
                asyncio.get_running_loop().time(), replica.faults.silent_until
            )
            self.assertIn(b" 200 ", data)
            writer.close()

        self.check(scenario)

    def test_silent_plain_replica_answers_later(self):
        self.check_silence("i-0", "i-0", 0.0, b"/a/1")

    def test_silent_first_part_sends_no_head(self):
        self.check_silence("i-1", "i-1", 0.01, b"\r\n\r\n")

    def test_stream_stands_still_while_a_part_is_silent(self):
        for silent_id in ("i-1", "i-2"):
            self.check_silence(silent_id, "i-1", 0.03, b"id: 4\n")

    def test_silence_that_is_prolonged(self):
        async def scenario(fleet, runner):
            replica = fleet.replicas["i-0"]
            silence(replica)
            reader, writer = await send(fleet, "i-0")
            await asyncio.sleep(SILENCE / 2)
            silence(replica)
            await reader.readuntil(b"\r\n\r\n")
            now = asyncio.get_running_loop().time()
            self.assertGreaterEqual(now, replica.faults.silent_until)
            writer.close()

        self.check(scenario)

    def test_stream_without_length_or_chunks(self):
        async def scenario(fleet, runner):
            fleet.replicas["i-1"].faults.unframed = True
            data, is_reset = await read_all(*await send(fleet, "i-1"))
            head, _, body = data.partition(b"\r\n\r\n")
            self.assertNotIn(b"Content-Length", head)
            self.assertNotIn(b"Transfer-Encoding", head)
            self.assertTrue(body.startswith(b"id: 1\n"))
            self.assertTrue(body.endswith(b"id: 4\ndata: word-4\n\n"))
            self.assertFalse(is_reset)

        self.check(scenario)

    def test_stream_that_ends_inside_an_event(self):
        async def scenario(fleet, runner):
            faults = fleet.replicas["i-1"].faults
            for faults.unframed in (False, True):
                for faults.ends_inside in (True, False):
                    faults.stop_after = 2
                    data, is_reset = await read_all(*await send(fleet, "i-1"))
                    self.assertIn(b"id: 3\ndata: wor", data)
                    self.assertNotIn(b"word-3\n\n", data)
                    self.assertFalse(data.endswith(b"0\r\n\r\n"))
                    # A connection in memory knows no reset.
                    expected = runner is asyncio.run and not faults.ends_inside
                    self.assertEqual(is_reset, expected)

        self.check(scenario)

    def test_cut_answer_without_a_length_is_reset(self):
        async def scenario(fleet, runner):
            faults = fleet.replicas["i-0"].faults
            faults.truncate = faults.unframed = True
            data, is_reset = await read_all(*await send(fleet, "i-0"))
            self.assertIn(b" 200 ", data)
            self.assertTrue(is_reset)

        self.check(scenario, [asyncio.run])

    def test_lost_answer_resets_the_connection(self):
        async def scenario(fleet, runner):
            fleet.replicas["i-0"].faults.lose_answer = True
            self.assertEqual(await read_all(*await send(fleet, "i-0")), (b"", True))

        self.check(scenario, [asyncio.run])

    def test_head_body_and_event_without_end(self):
        async def scenario(fleet, runner):
            for replica_id, endless in (
                ("i-0", "head"),
                ("i-0", "body"),
                ("i-1", "head"),
                ("i-1", "body"),
                ("i-1", "event"),
            ):
                replica = fleet.replicas[replica_id]
                replica.faults.endless = endless
                reader, writer = await send(fleet, replica_id)
                data = await reader.readexactly(1_000_000)
                self.assertEqual(b"\r\n\r\n" in data, endless != "head")
                self.assertNotIn(b"\n\n", data.partition(b"\r\n\r\n")[2])
                writer.close()
                await self.wait_for_close(replica)
                self.assertTrue(replica.runs)
                replica.runs.clear()

        self.check(scenario)

    async def wait_for_close(self, replica):
        """Wait until a replica has noticed that its callers are gone."""
        for _ in range(500):
            if not replica.writers:
                return
            await asyncio.sleep(0.01)
        self.fail("the replica still serves a caller that is gone")


def crash_on(fleet, pieces=None, part=0, tenant=""):
    """Let the request of `send` crash the replicas that run it."""
    rule = CrashingRequest(tenant, "GET", "/a/1", b"", pieces, part)
    fleet.crashing_requests.append(rule)
    fleet.keeps_layers, fleet.crash_time = True, SHORT_TIME


class CrashingRequestTests(FaultTestCase):
    """
    Guard against a request that should crash its replicas and does not.

    A check that such requests are refused would pass without any.
    """

    def setUp(self):
        self.enterContext(mock.patch.object(fake_fleet, "STALL_TIMEOUT", STALL_TIME))

    def check_crash(self, replica_id, pieces, expected):
        """Check what arrives of an answer before the crash of its replica."""

        async def scenario(fleet, runner):
            crash_on(fleet, pieces)
            replica = fleet.replicas[replica_id]
            data, _ = await read_all(*await send(fleet, replica_id))
            head, _, body = data.partition(b"\r\n\r\n")
            self.assertEqual(b" 200 " in head, pieces is not None)
            self.assertEqual((body.count(b"id: "), body.count(b"x")), expected)
            # Nothing listens until the replica is back.
            with self.assertRaises(OSError):
                await send(fleet, replica_id)
            await asyncio.gather(*fleet.crash_tasks)
            self.assertEqual((len(replica.crashes), len(replica.runs)), (1, 1))
            self.assertEqual(fleet.crashing_request_arrivals, replica.arrivals)
            fleet.crashing_requests.clear()
            self.assertIn(b" 200 ", await self.read_head(await send(fleet, replica_id)))

        self.check(scenario)

    def test_plain_replica_before_the_head(self):
        self.check_crash("i-0", None, (0, 0))

    def test_plain_replica_after_the_head(self):
        self.check_crash("i-0", 0, (0, 0))

    def test_plain_replica_within_the_answer(self):
        self.check_crash("i-0", 3, (0, 3 * PIECE_BYTES))

    def test_engine_before_the_head(self):
        self.check_crash("i-1", None, (0, 0))

    def test_engine_after_the_head(self):
        self.check_crash("i-1", 0, (0, 0))

    def test_engine_after_three_events(self):
        self.check_crash("i-1", 3, (3, 0))

    def test_request_of_another_caller_is_served(self):
        async def scenario(fleet, runner):
            crash_on(fleet, tenant="depot")
            self.assertIn(b" 200 ", await self.read_head(await send(fleet, "i-0")))
            self.assertEqual(fleet.crashing_request_arrivals, [])

        self.check(scenario)

    def test_later_part_before_the_head(self):
        # The first part refuses the request and names the other.
        async def scenario(fleet, runner):
            crash_on(fleet, part=1)
            began = asyncio.get_running_loop().time()
            head = await self.read_head(await send(fleet, "i-1"))
            taken = asyncio.get_running_loop().time() - began
            self.assertGreaterEqual(taken, STALL_TIME)
            first, last = fleet.replicas["i-1"], fleet.replicas["i-2"]
            self.assertEqual((len(first.crashes), len(last.crashes)), (0, 1))
            self.assertIn(b" 503 ", head)
            self.assertIn(f"At-Server: {last.address}\r\n".encode(), head)
            # The refusal promises that the request has not run.
            self.assertIn(b"Not-Executed: 1\r\n", head)
            self.assertEqual(first.runs, [])

        self.check(scenario)

    def test_later_part_after_three_events(self):
        async def scenario(fleet, runner):
            crash_on(fleet, pieces=3, part=1)
            data, was_reset = await read_all(*await send(fleet, "i-1"))
            first, last = fleet.replicas["i-1"], fleet.replicas["i-2"]
            self.assertEqual((len(first.crashes), len(last.crashes)), (0, 1))
            self.assertEqual((data.count(b"id: "), b"id: 3" in data), (3, True))
            self.assertEqual(was_reset, runner is asyncio.run)

        self.check(scenario)

    def check_moved_stream(self, is_crashing, events, crashes):
        """Check a stream whose last engine ends and that is moved to another one."""

        async def scenario(fleet, runner):
            (port,) = free_ports(1)
            other = FakeReplica("i-3", "gen", "127.0.0.1", port, card="small")
            other.span = (4, 8)
            first, last = fleet.replicas["i-1"], fleet.replicas["i-2"]
            async with fleet.open(other):
                if is_crashing:
                    crash_on(fleet, pieces=1, part=1)
                reader, writer = await send(fleet, "i-1")
                data = await reader.readuntil(b"id: 1\ndata: word-1\n\n")
                if not is_crashing:
                    fleet.begin_crash(last)
                await asyncio.sleep(0.2)
                fleet.replaced_paths["r1"] = [
                    (first.address, 0, 4),
                    (other.address, 4, 8),
                ]
                if is_crashing:
                    data += (await read_all(reader, writer))[0]
                else:
                    data += await reader.readuntil(b"\r\n0\r\n\r\n")
                    writer.close()
                self.assertEqual(data.count(b"id: "), events)
                found = [len(it.crashes) for it in (first, last, other)]
                self.assertEqual(found, crashes)

        self.check(scenario)

    def test_moved_request_crashes_the_next_engine_too(self):
        self.check_moved_stream(True, 1, [0, 1, 1])

    def test_sound_stream_that_is_moved_goes_on(self):
        self.check_moved_stream(False, 4, [0, 1, 0])

    def test_engine_that_has_started_again_does_not_go_on_with_old_streams(self):
        async def scenario(fleet, runner):
            # The engine is back before the stream is given up.
            fleet.keeps_layers, fleet.crash_time = True, SHORT_TIME
            reader, writer = await send(fleet, "i-1")
            await reader.readuntil(b"id: 1\ndata: word-1\n\n")
            fleet.begin_crash(fleet.replicas["i-2"])
            data, _ = await read_all(reader, writer)
            self.assertNotIn(b"id: 4", data)
            self.assertIsNotNone(fleet.replicas["i-2"].span)

        self.check(scenario)
