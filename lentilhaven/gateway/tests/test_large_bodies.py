import asyncio
import unittest

from lentilhaven.gateway.tests.platform_testbed import (
    KEY,
    plain_replicas,
    run_on_testbed,
)
from lentilhaven.gateway.tests.raw_caller import RawCaller
from lentilhaven.standins.platform.sample_files import request_headers

#: Number of callers with large bodies, bytes that each states and sends, and bytes that
#: the gateway may hold.
CALLERS, STATED_BYTES, SENT_BYTES, LIMIT = 60, 1_000_000, 900_000, 8_000_000


def request_head(number, path="/post/1"):
    """Return the head of a request with a large body."""
    fields = request_headers(f"large-{number}", KEY, 20.0)
    fields["Content-Length"] = str(STATED_BYTES)
    lines = [f"POST {path} HTTP/1.1", *(f"{name}: {it}" for name, it in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class LargeBodyTests(unittest.TestCase):
    """Guard against a gateway that slow callers with large bodies end."""

    def run_callers(self, replicas, number=CALLERS):
        """Return the slow callers' answers before and after the rest of the bodies."""

        async def scenario(bed):
            bed.gateways[0].body_memory.limit = LIMIT
            callers = [await RawCaller.connect() for _ in range(number)]
            for index, caller in enumerate(callers):
                caller.writer.write(request_head(index) + bytes(SENT_BYTES))
            await asyncio.sleep(0.2)
            early = await asyncio.gather(*(it.read_answer(0.1) for it in callers))
            sound = [await bed.call("/post/2", body=b"count 7") for _ in range(5)]
            waiting = [
                it for it, answer in zip(callers, early, strict=True) if not answer
            ]
            for caller in waiting:
                caller.writer.write(bytes(STATED_BYTES - SENT_BYTES))
            late = await asyncio.gather(*(it.read_answer() for it in waiting))
            held = bed.gateways[0].body_memory.held
            return early, [it.status for it in sound], late, held

        return run_on_testbed(scenario, replicas)

    def test_bodies_together_are_bounded_and_the_rest_is_refused(self):
        early, sound, late, held = self.run_callers(plain_replicas())
        refused = [it for it in early if it is not None]
        self.assertLessEqual((CALLERS - len(refused)) * SENT_BYTES, LIMIT)
        self.assertEqual({it.status for it in refused}, {503})
        self.assertTrue(all(float(it.headers["retry-after"]) > 0 for it in refused))
        self.assertEqual(sound, [200] * 5)
        self.assertGreater(len(late), 0)
        self.assertEqual({it.status for it in late}, {200})
        self.assertEqual(held, 0)

    def test_large_bodies_below_the_limit_are_served(self):
        early, _, late, _ = self.run_callers(plain_replicas(), number=7)
        self.assertEqual(early, [None] * 7)
        self.assertEqual({it.status for it in late}, {200})
