import asyncio
import unittest

from lentilhaven.gateway.tests.platform_testbed import (
    LAYERS,
    plain_replicas,
    run_on_testbed,
    sample_manifest,
    two_chains,
)

#: Seconds for which a sound replica is silent before it goes on.
SILENCE = 1.0


def silence(replica):
    """Let a replica send nothing for `SILENCE` seconds from now."""
    replica.faults.silent_until = asyncio.get_running_loop().time() + SILENCE


class SilentStreamTests(unittest.TestCase):
    """
    Guard against streams that are broken off since a sound engine was silent.

    The first run was given up before its successor had begun.
    """

    def run_stream(self, break_others, replicas=None, path="/draft/1", **options):
        """
        Return the reply to a stream whose second part falls silent, and all runs.

        `break_others(bed, replica)` is called for each engine of the other chain.
        """

        async def scenario(bed):
            async def disturb():
                await asyncio.sleep(0.15)
                chain = bed.fleet.runs[0].fields["hop-count"]
                for replica in bed.fleet.replicas.values():
                    if replica.address not in chain:
                        break_others(bed, replica)
                    elif replica.span[1] == LAYERS:
                        silence(replica)

            reply, _ = await asyncio.gather(bed.call(path, output=80), disturb())
            return reply, bed.fleet

        return run_on_testbed(scenario, replicas or two_chains(), **options)

    def check(self, reply):
        self.assertEqual((reply.status, reply.complete), (200, True))
        self.assertEqual(reply.event_ids, list(range(1, 21)))

    def test_stream_goes_on_if_the_other_chain_refuses(self):
        def shed(bed, replica):
            replica.faults.shed = True

        reply, fleet = self.run_stream(shed)
        self.check(reply)
        self.assertEqual(len(fleet.runs), 1)

    def test_stream_goes_on_if_the_other_chain_can_not_be_reached(self):
        def stop(bed, replica):
            bed.fleet.servers[replica.id].close()

        reply, fleet = self.run_stream(stop)
        self.check(reply)
        self.assertEqual(len(fleet.runs), 1)

    def test_stream_goes_on_if_the_other_chain_breaks_off(self):
        def break_off(bed, replica):
            replica.faults.stop_after = 1

        reply, fleet = self.run_stream(break_off)
        self.check(reply)
        self.assertLessEqual(len(fleet.runs), 2)

    def test_stream_goes_on_if_the_other_chain_is_silent_for_longer(self):
        def darken(bed, replica):
            replica.faults.dark = True

        reply, fleet = self.run_stream(darken)
        self.check(reply)
        self.assertLess(reply.seconds, 2.5)

    def test_stream_goes_on_beside_a_change_of_the_manifest(self):
        def shed_and_edit(bed, replica):
            replica.faults.shed = True
            manifest = sample_manifest(2)
            manifest["limits"]["idle_timeout_ms"] = 5_000
            bed.store.put("config", "main", manifest)

        reply, fleet = self.run_stream(shed_and_edit)
        self.check(reply)


class SilentReplicaTests(unittest.TestCase):
    """Guard against answers that end early since a sound replica was silent."""

    def call_silent(self, break_other, **options):
        """
        Return the reply of a silent replica, and all runs.

        `break_other(bed)` is called before the request, which only `i-stock-0` runs.
        """

        async def scenario(bed):
            silence(bed.fleet.replicas["i-stock-0"])
            bed.fleet.replicas["i-stock-0"].faults.silent_until -= 0.5
            break_other(bed)
            reply = await bed.call("/look/1", "GET")
            return reply, bed.fleet.runs

        return run_on_testbed(scenario, plain_replicas(), **options)

    def test_answer_is_awaited_if_the_other_replica_refuses(self):
        def shed(bed):
            bed.fleet.replicas["i-stock-1"].faults.shed = True

        reply, _ = self.call_silent(shed)
        self.assertEqual(reply.status, 200)

    def test_answer_is_awaited_if_no_retry_is_left(self):
        def spend(bed):
            bed.fleet.replicas["i-stock-1"].faults.shed = True
            for gateway in bed.gateways:
                gateway.budget_of("stock").ratio = 0.0
                gateway.budget_of("stock").slack = 0.0

        reply, _ = self.call_silent(spend)
        self.assertEqual(reply.status, 200)

    def test_answer_is_awaited_if_there_is_no_other_replica(self):
        async def scenario(bed):
            silence(bed.fleet.replicas["i-stock-0"])
            bed.fleet.replicas["i-stock-0"].faults.silent_until -= 0.5
            return await bed.call("/look/1", "GET")

        reply = run_on_testbed(scenario, plain_replicas(1))
        self.assertEqual(reply.status, 200)

    def test_first_answer_counts_if_the_other_replica_is_slower(self):
        def delay(bed):
            bed.fleet.replicas["i-stock-1"].faults.delay = 5.0

        reply, _ = self.call_silent(delay)
        self.assertEqual(reply.status, 200)
