import asyncio
import itertools
import unittest
import unittest.mock
from contextlib import contextmanager

import attrs

from lentilhaven.gateway.tests.platform_testbed import engine, run_on_testbed
from lentilhaven.gateway.tests.stream_wire import (
    EVENTS as WIRE_EVENTS,
    LAST_CHUNK,
    Answer,
    chunk,
    events,
    receive_all,
)
from lentilhaven.standins.platform.cut_links import Cut
from lentilhaven.upstream.connection import UpstreamConnection

#: Seconds from the request to the refusal of its first run, and to the answers of the
#: second and the third run.
REFUSAL_AT, ANSWERS_AT = 0.4, 2.0

#: Seconds from the request to the freeze of the gateway, and to its end.
FREEZE_AT, WAKE_AT = 1.9, 2.4

#: Seconds for which a sound engine falls silent within its stream.
SILENCE = 1.0

#: Output tokens of the stream, and the number of events that carry them.
OUTPUT, EVENTS = 80, 20


@contextmanager
def holding_data():
    """Hold what connections to endpoints receive; yield it by connection."""
    held = {}

    def hold(connection, data):
        held.setdefault(connection, []).append(data)

    with unittest.mock.patch.object(UpstreamConnection, "data_received", hold):
        yield held


class FrozenGatewayTests(unittest.TestCase):
    """
    Guard against a stream with the events of two runs after a freeze of its gateway.

    A run that had lost the lead before it had ever led took it back.
    """

    def run_stream(self, reverse, relayed=False):
        """
        Return the reply to a stream of which two runs answer during a freeze.

        Parameters
        ----------
        reverse : bool
            Whether the second run's answer is read before the third one's.
        relayed : bool
            Whether the gateway reaches the engines through another one.
        """

        async def scenario(bed):
            if relayed:
                hosts = {it.host for it in bed.fleet.replicas.values()}
                bed.links[0].begin_cut(Cut.REFUSE, hosts)
            now = asyncio.get_running_loop().time()
            replicas = bed.fleet.replicas
            replicas["i-a0"].faults.silent_until = now + REFUSAL_AT
            replicas["i-a0"].faults.shed = True
            for name in ("i-b0", "i-c0"):
                replicas[name].faults.silent_until = now + ANSWERS_AT
            request = asyncio.ensure_future(bed.call("/draft/1", output=OUTPUT))
            await asyncio.sleep(FREEZE_AT)
            with holding_data() as held:
                await asyncio.sleep(WAKE_AT - FREEZE_AT)
            self.assertEqual(len(held), 2)
            self.assertEqual({it.relayed for it in held}, {relayed})
            for connection in sorted(held, key=list(held).index, reverse=reverse):
                for data in held[connection]:
                    connection.data_received(data)
            return await request

        engines = [engine("a0", 0, 4, card="large"), engine("a4", 4, 8, card="large")]
        engines += [engine(f"{it}{at}", at, at + 4) for it in "bc" for at in (0, 4)]
        return run_on_testbed(scenario, engines, gateways=2)

    def test_caller_gets_the_events_of_one_run(self):
        for reverse, relayed in itertools.product((False, True), repeat=2):
            with self.subTest(reverse=reverse, relayed=relayed):
                reply = self.run_stream(reverse, relayed)
                self.assertEqual(reply.event_ids, list(range(1, EVENTS + 1)))
                self.assertTrue(reply.complete)


@attrs.frozen
class PausingAnswer(Answer):
    """A stream whose engine falls silent after four events, and goes on."""

    async def send(self, request, reader, writer):
        writer.write(self.encode(request))
        await asyncio.sleep(SILENCE)
        writer.write(chunk(events(5, WIRE_EVENTS)) + LAST_CHUNK)
        await writer.drain()


class CommentTests(unittest.TestCase):
    """
    Guard against a sound stream that is broken off for a comment of a second run.

    A comment took the lead, although its run had no event.
    """

    def test_run_with_a_comment_alone_does_not_take_the_lead(self):
        first = PausingAnswer(lambda request: chunk(events(1, 4)))
        comments = {
            "comment": b": wait\n\n",
            "time for reconnecting": b"retry: 3000\n\n",
            "empty lines": b"\n\n",
        }
        cases = {
            name: [first, Answer(lambda request, data=data: chunk(data), end=None)]
            for name, data in comments.items()
        }
        for case, received in receive_all(cases, "/draft/1").items():
            with self.subTest(case=case):
                self.assertEqual(received.find_fault(), "")
                self.assertEqual(received.ids, list(range(1, WIRE_EVENTS + 1)))
                self.assertTrue(received.is_whole)
