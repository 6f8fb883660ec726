import asyncio
import itertools
import unittest
from collections import Counter
from unittest.mock import patch

from lentilhaven.gateway import service_relay
from lentilhaven.gateway.tests.repeating_replica import RepeatingReplica
from lentilhaven.gateway.tests.wire_testbed import run_on_wire, run_on_wire_with

#: Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)

#: Number of callers, and of requests that each of them sends.
CALLERS, REQUESTS = 4, 10


def status_of(answer):
    """Return the status of an answer, or 0 if there is none."""
    return int(answer.split(b" ")[1]) if answer else 0


def send_requests(replicas, path="/post/1"):
    """
    Send requests to replicas, by default unsafe ones.

    Returns
    -------
    dict
        Statuses by request id.
    gateway : Gateway
        The gateway.
    """

    async def use(wire):
        statuses = {}

        async def send():
            for _ in range(REQUESTS):
                name, answer = await wire.call_named(path)
                statuses[name] = status_of(answer)

        await asyncio.gather(*(send() for _ in range(CALLERS)))
        return statuses, wire.gateway

    return run_on_wire_with(replicas, use)


class RepeatedRefusalTests(unittest.TestCase):
    """
    Guard against a promise "not run", or a second run, after a run has begun.

    A replica wrote an earlier refusal once more on a kept connection, and the gateway
    took it for the answer to the request in progress there.
    """

    def lost_requests(self, **options):
        """Return the statuses other than 200 that the callers of each case get."""
        lost = []
        cases = itertools.product((421, 429, 503), ("at once", "later"))
        for status, copies in cases:
            with self.subTest(status=status, copies=copies):
                faulty = [
                    RepeatingReplica(4, status, copies=copies, **options)
                    for _ in range(2)
                ]
                replicas = [*faulty, RepeatingReplica(), RepeatingReplica()]
                # The connections that have carried a refusal are soon used again.
                with patch.object(service_relay, "REFUSAL_BACKOFF", 0.0):
                    statuses, _ = send_requests(replicas)
                self.check_runs(replicas, statuses)
                lost.append([it for it in statuses.values() if it != 200])
        return lost

    def check_runs(self, replicas, statuses):
        runs = sum((it.runs for it in replicas), Counter())
        self.assertEqual({it for it, count in runs.items() if count > 1}, set())
        promised = {it for it, status in statuses.items() if status in PROMISES}
        self.assertEqual(promised & runs.keys(), set())

    def test_copies_with_the_id(self):
        self.assertEqual(self.lost_requests(), [[]] * 6)

    def test_copies_without_an_id(self):
        self.assertEqual(self.lost_requests(names_copies=False), [[]] * 6)

    def test_refusals_and_copies_without_an_id(self):
        for lost in self.lost_requests(names_refused=False, names_copies=False):
            # One request of each caller, before the gateway knows the two replicas.
            self.assertLessEqual(len(lost), 2 * CALLERS)
            self.assertLessEqual(set(lost), {504})

    def test_promise_if_all_replicas_write_refusals_again(self):
        for names_refused in (True, False):
            with self.subTest(names_refused=names_refused):
                options = {"names_refused": names_refused, "names_copies": False}
                replicas = [
                    RepeatingReplica(2, copies="later", **options) for _ in range(3)
                ]
                statuses, _ = send_requests(replicas)
                self.check_runs(replicas, statuses)


class StreamTests(unittest.TestCase):
    """Guard against a stream that is refused, though it runs, on a kept connection."""

    def test_copy_of_a_refusal_does_not_end_a_stream(self):
        due = [b"", b"HTTP/1.1 503 -\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"]
        runs = []

        async def script(request_id, reader, writer):
            for copy in due:
                runs.append(request_id)
                fields = b"Request-Id: %b\r\nTransfer-Encoding: chunked" % request_id
                writer.write(b"%bHTTP/1.1 200 OK\r\n%b\r\n\r\n" % (copy, fields))
                writer.write(b"f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.lower().split(b"request-id: ")[1].split(b"\r\n")[0]

        async def use(wire):
            return [await wire.call("/once/1") for _ in due]

        for answer in run_on_wire(script, use):
            self.assertEqual(status_of(answer), 200)
            self.assertIn(b"data: a", answer)
        self.assertEqual(runs, [b"r1", b"r2"])


class SoundRefusalTests(unittest.TestCase):
    """Guard against requests that are lost since a sound replica refuses them."""

    def test_refused_request_is_served_by_another_replica(self):
        replicas = [RepeatingReplica(3), RepeatingReplica()]
        statuses, gateway = send_requests(replicas)
        self.assertEqual(set(statuses.values()), {200})
        # Refusals that name their request cost no connections.
        self.assertLessEqual(gateway.pool.opened, 2 * CALLERS)

    def test_refused_request_without_an_id_is_served_by_another_replica(self):
        replicas = [RepeatingReplica(3, names_refused=False), RepeatingReplica()]
        statuses, _ = send_requests(replicas)
        # What comes without an id on a used connection may answer an earlier request.
        # This can happen to one request of each caller, before the gateway knows the
        # replica.
        lost = [it for it in statuses.values() if it != 200]
        self.assertLessEqual(len(lost), CALLERS)
        self.assertEqual(set(lost) - {504}, set())

    def test_safe_request_is_not_lost_before_the_replica_is_known(self):
        replicas = [RepeatingReplica(3, names_refused=False), RepeatingReplica()]
        statuses, _ = send_requests(replicas, "/look/1")
        self.assertEqual(set(statuses.values()), {200})

    def test_caller_may_send_again_what_all_replicas_refuse(self):
        for names_refused in (True, False):
            with self.subTest(names_refused=names_refused):
                replicas = [RepeatingReplica(1, names_refused=names_refused)] * 2

                async def use(wire):
                    return [await wire.call("/post/1") for _ in range(6)]

                for answer in run_on_wire_with(replicas, use):
                    self.assertEqual(status_of(answer), 503)
                    self.assertIn(b"Retry-After: ", answer)
