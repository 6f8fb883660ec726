import asyncio
import unittest

from lentilhaven.admission import OrderRules
from lentilhaven.chains.chain import Chain
from lentilhaven.core.clock import loop_clock
from lentilhaven.core.store_position import StorePosition
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.message_composer import MessageComposer
from lentilhaven.gateway.peer_exchange import merge_state
from lentilhaven.gateway.silence import suspect_silent_parts
from lentilhaven.gateway.tests.platform_testbed import sample_settings
from lentilhaven.gateway.tests.wire_testbed import wire_engine
from lentilhaven.peering.messages import Scope
from lentilhaven.platform.settings import decode_settings
from lentilhaven.standins.virtual import run_virtual

#: Seconds for which a stream is silent before its gateway suspects the engines.
SILENCE = 0.14


class MassSuspicionTests(unittest.TestCase):
    """
    Guard against suspicions of sound engines that leave no chain for recoveries.

    Suspicions were dated by their detection, so that what others had heard from the
    engines during the silence did not refute them.
    """

    def play(self, *heard_ago):
        """Return which engines are available to a gateway that is told."""

        async def scenario():
            now = asyncio.get_running_loop().time() + 100.0
            engines = [
                wire_engine(f"e{it}", f"10.2.0.{it}:80")
                for it in range(len(heard_ago) + 1)
            ]
            gateways = [
                Gateway(decode_settings(sample_settings(it)), loop_clock())
                for it in range(2)
            ]
            for gateway in gateways:
                gateway.view.replace_endpoints(engines, StorePosition(0, 1), "test")
            first, second = gateways
            first.queues.rules = OrderRules(is_ordered=True)
            for engine, ago in zip(engines, heard_ago, strict=False):
                second.endpoint_states.of(engine).note_heard(now - ago)
            chain = Chain(tuple((it, LayerSpan(0, 8)) for it in engines))
            suspect_silent_parts(first, chain, "r1", now - SILENCE, now)
            message = MessageComposer(first).compose(Scope.OWN, now)
            merge_state(second, message, now)
            states = second.endpoint_states
            return [states.of(it).available(now) for it in engines]

        return run_virtual(scenario())

    def test_what_was_heard_during_the_silence_refutes_a_suspicion(self):
        self.assertEqual(self.play(0.01), [True, False])

    def test_what_was_in_transit_at_the_failure_does_not(self):
        self.assertEqual(self.play(SILENCE - 0.02), [False, False])

    def test_a_suspicion_by_others_counts_for_a_stream_that_was_silent_before(self):
        """Such a stream waited 0.8 s for its second run after a loss of engines."""

        async def scenario():
            now = asyncio.get_running_loop().time() + 100.0
            gateway = Gateway(decode_settings(sample_settings(0)), loop_clock())
            gateway.queues.rules = OrderRules(is_ordered=True)
            engine = wire_engine("e0", "10.2.0.1:80")
            state = gateway.endpoint_states.of(engine)
            state.note_heard(now - 0.1)
            state.note_suspicion(now - 0.09, now + 4.0, distance=1)
            chain = Chain(((engine, LayerSpan(0, 8)),))
            return suspect_silent_parts(gateway, chain, "r1", now - 0.2, now)

        self.assertEqual(run_virtual(scenario()), ["e0"])
