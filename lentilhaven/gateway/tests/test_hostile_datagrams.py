"""Datagrams with malformed or extreme values about ended endpoints."""

import asyncio
import json
import math
import unittest
import unittest.mock
import zlib

from lentilhaven.crashes.breaker import IDLE_TIME, MAX_HOLD
from lentilhaven.crashes.ledger import (
    EVIDENCE_TIME,
    MAX_BREAKERS,
    MAX_ENDED,
    MAX_ENDS,
    MAX_PROVEN,
    MAX_SUBJECTS_WITH_ENDS,
)
from lentilhaven.gateway.tests.platform_testbed import plain_replicas, run_on_testbed
from lentilhaven.gateway.tests.test_call import make_call
from lentilhaven.peering.messages import PeerMessage, decode_message, encode_message

#: Fields of a datagram about ended endpoints.
FIELDS = (
    "prompt_ends",
    "request_ends",
    "prompt_proofs",
    "request_proofs",
    "breakers",
    "ended",
)

#: Values of the wrong type or size in place of any other.
EDGE_CASES = (
    None,
    True,
    -1,
    10**400,
    1e308,
    -1e308,
    math.inf,
    math.nan,
    "",
    "NaN",
    "\ud800",
    "a" * 100_000,
    [],
    [[]],
    [[[]]],
    {},
    {"a": 1},
)

#: A valid entry of each field.
ENTRIES = {
    "prompt_ends": ["stock", "5c1e", [["a", 7, 1.5]]],
    "request_ends": ["stock", "af26", [["a", 7, 1.5]]],
    "prompt_proofs": ["stock", "5c1e", 1.5],
    "request_proofs": ["stock", "af26", 1.5],
    "breakers": ["request", "stock", "af26", 1.5, 100.0, 1],
    "ended": ["a", 7, 1.5],
}

#: Request to a plain service, and its subject.
PATH, BODY = "/post/7", b"count 7"
DIGEST = make_call(target=PATH, body=BODY).digest


def make_datagram(number=1, text=None, **fields):
    """Return an encoded datagram with some fields as they are given."""
    message = PeerMessage("vm-x", "r", "10.0.0.77:7000", number)
    encoded = json.loads(zlib.decompress(encode_message(message))) | fields
    return zlib.compress((text or json.dumps(encoded)).encode())


def replaced(entry, value):
    """Yield copies of an entry with a value in place of each part of it."""
    for index, part in enumerate(entry):
        yield [*entry[:index], value, *entry[index + 1 :]]
        if isinstance(part, list):
            for inner in replaced(part, value):
                yield [*entry[:index], inner, *entry[index + 1 :]]


def hostile_values():
    """Yield fields of datagrams, each with one hostile value."""
    for name in FIELDS:
        for value in EDGE_CASES:
            yield {name: value}
            yield {name: [value]}
            yield from ({name: [entry]} for entry in replaced(ENTRIES[name], value))


async def deliver(bed, *datagrams, gateway=0):
    """Let a gateway receive some datagrams."""
    address = bed.gateways[gateway].settings.address
    (protocol,) = (
        protocol
        for (host, _), protocol in bed.datagram_network.protocols.items()
        if host == address
    )
    for datagram in datagrams:
        protocol.datagram_received(datagram, ("10.0.0.77", 7000))
    await asyncio.sleep(0.5)


def receive(*datagrams, seconds=0.0):
    """Let a gateway receive datagrams; return it and the status of a request after."""

    async def scenario(bed):
        await deliver(bed, *datagrams)
        await asyncio.sleep(seconds)
        reply = await bed.call(PATH, body=BODY)
        if seconds and reply.status == 503:
            # The gateway waits for its turn to begin a trial.
            await asyncio.sleep(min(60.0, float(reply.headers["Retry-After"])))
            reply = await bed.call(PATH, body=BODY)
        return bed.gateways[0], reply.status

    return run_on_testbed(scenario, plain_replicas())


class DecodeTests(unittest.TestCase):
    """Guard against datagrams that raise an error instead of being dropped."""

    def test_hostile_values(self):
        for number, fields in enumerate(hostile_values()):
            with self.subTest(fields=str(fields)[:80]):
                datagram = make_datagram(number, **fields)
                message = decode_message(datagram)
                if message is not None:
                    encode_message(message)

    def test_deeply_nested_value(self):
        self.assertIsNone(decode_message(make_datagram(text="[" * 100_000)))


class CountTests(unittest.TestCase):
    """Guard against counts that no float holds: what computes with them fails."""

    # Guards against a sum for the whole fleet that ends the checks of slow endpoints.
    def test_count_of_gateways(self):
        text = make_datagram(scope="fleet", gateways=10**400)
        with unittest.mock.patch("lentilhaven.core.tasks.log.error") as log_error:
            self.assertEqual(receive(text, seconds=3.0)[1], 200)
        self.assertEqual(log_error.mock_calls, [])

    def test_counts(self):
        for fields in (
            {"gateways": 10**400},
            {"loads": {"a": [10**400, 1.0]}},
            {"sent": {"a": 10**400}},
        ):
            with self.subTest(fields=str(fields)[:40]):
                self.assertIsNone(decode_message(make_datagram(**fields)))


class MergeTests(unittest.TestCase):
    """Guard against values that block a request for ever or use up the memory."""

    def test_hostile_values(self):
        """No value raises an error in the gateway or blocks another request."""
        datagrams = [
            make_datagram(number, **fields)
            for number, fields in enumerate(hostile_values(), 1)
        ]
        _, status = receive(*datagrams)
        self.assertEqual(status, 200)

    def test_breaker_that_states_an_endless_refusal(self):
        entry = ["request", "stock", DIGEST, 1.0, 1e12, 10**6]
        datagram = make_datagram(breakers=[entry])
        self.assertEqual(receive(datagram)[1], 503)
        _, status = receive(datagram, seconds=MAX_HOLD + 1.0)
        self.assertEqual(status, 200)

    def test_breaker_whose_trials_are_beyond_any_count(self):
        entry = ["request", "stock", DIGEST, 1.0, 10.0, 10**9]
        ends = [["stock", DIGEST, [["a", 7, 0.5]]]]
        gateway, _ = receive(
            make_datagram(1, breakers=[entry]), make_datagram(2, request_ends=ends)
        )
        (found,) = gateway.crash_ledger.breakers.values()
        self.assertLess(found.until, 2 * MAX_HOLD)

    def test_ends_in_the_future(self):
        ends = [["stock", DIGEST, [[name, 7, -1e9] for name in "abc"]]]
        datagram = make_datagram(request_ends=ends)
        _, status = receive(datagram, seconds=EVIDENCE_TIME + IDLE_TIME)
        self.assertEqual(status, 200)

    def test_proof_in_the_future(self):
        """It must not excuse the ends that come after it."""
        proof = make_datagram(1, request_proofs=[["stock", DIGEST, -1e9]])
        ends = [["stock", DIGEST, [[name, 7, 0.0] for name in "abcdef"]]]

        async def scenario(bed):
            await deliver(bed, proof)
            await asyncio.sleep(40.0)
            await deliver(bed, make_datagram(2, request_ends=ends))
            return (await bed.call(PATH, body=BODY)).status

        self.assertEqual(run_on_testbed(scenario, plain_replicas()), 503)

    def test_old_ends_are_no_news(self):
        """Each datagram with news makes a gateway of a large fleet send its own."""
        ends = [["stock", DIGEST, [[name, 7, 1e6] for name in "abc"]]]
        gateway, status = receive(make_datagram(request_ends=ends))
        self.assertEqual((len(gateway.crash_ledger.ends), status), (0, 200))

    def test_counts_are_bounded(self):
        """Guards against memory, and against time, that grow with hostile counts."""

        def many(count, make):
            return [make(f"{number:x}") for number in range(count)]

        def datagram(number):
            def name(text):
                return f"{number}-{text}"

            ends = many(40, lambda it: [it, 7, 0.5])
            return make_datagram(
                number,
                request_ends=many(400, lambda it: ["stock", name(it), ends]),
                request_proofs=many(3000, lambda it: ["stock", name(it), 0.5]),
                breakers=many(
                    2000, lambda it: ["request", "stock", name(it), 0.5, 50.0, 0]
                ),
                ended=many(3000, lambda it: [name(it), 7, 0.5]),
            )

        gateway, status = receive(*(datagram(number) for number in range(1, 9)))
        found = gateway.crash_ledger
        self.assertLessEqual(len(found.ends), MAX_SUBJECTS_WITH_ENDS)
        self.assertLessEqual(max(map(len, found.ends.values())), MAX_ENDS)
        self.assertLessEqual(max(map(len, found.proofs.values())), MAX_PROVEN)
        self.assertLessEqual(len(found.breakers), MAX_BREAKERS)
        self.assertLessEqual(len(found.ended), MAX_ENDED)
        self.assertEqual(status, 200)

    def test_names_are_bounded(self):
        """A name is kept for as long as the evidence, as many times as there are."""
        long = "a" * 100_000
        gateway, status = receive(
            make_datagram(
                1,
                request_ends=[
                    ["stock", long, [["a", 7, 0.5]]],
                    ["stock", "af26", [[long, 7, 0.5]]],
                ],
                request_proofs=[[long, "af26", 0.5]],
                breakers=[["request", "stock", long, 0.5, 50.0, 0]],
            )
        )
        kept = [*gateway.crash_ledger.ends, *gateway.crash_ledger.breakers]
        for subject in kept:
            self.assertLess(len(subject.name), 1000)
        for ends in gateway.crash_ledger.ends.values():
            self.assertNotIn((long, 7), ends)
        self.assertEqual(status, 200)
