"""Facts that end a task of each agent that receives them."""

import asyncio
import unittest

from lentilhaven.membership.fact_table import Scope
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import TestbedPlan, open_testbed
from lentilhaven.testbed.tokens import CLUSTER_TOKEN

#: Seconds after which agents are judged, and the largest age of a fact of a live VM
#: that other agents pull all the time.
JUDGED_AFTER, MAX_AGE = 25.0, 10.0

#: Values that no release publishes, by topic.
MALFORMED = {
    "suspects": [1],
    "leaving": {},
    "summary": {},
    "load": [{"endpoint": 7}],
    "topic-of-a-later-release": 1,
}


async def send_fact(testbed, topic, value, writer):
    """Send a fact to the first agent as another one does."""
    fact = {
        "topic": topic,
        "writer": writer,
        "incarnation": 10,
        "sequence": 10,
        "age": 0.0,
        "value": value,
    }
    async with testbed.session.post(
        f"{testbed.vms[0].agent_url}/peer/facts",
        json={"facts": [fact], "vectors": {}},
        headers={"Authorization": f"Bearer {CLUSTER_TOKEN}"},
    ) as response:
        return response.status


def oldest_summaries(testbed):
    """Return the age of the oldest summary that each agent holds of another one."""
    ages = {}
    for vm in testbed.vms:
        table = vm.agent.gossip.tables[Scope.SUMMARY]
        ages[vm.id] = max(
            table.age_of(key)
            for key, fact in table.facts.items()
            if fact.writer != vm.id and fact.writer in {it.id for it in testbed.vms}
        )
    return ages


class MalformedFactTests(unittest.TestCase):
    """Guards against one fact after which no agent learns of the others any more."""

    def test_agents_still_learn_of_each_other(self):
        for topic, value in MALFORMED.items():
            with self.subTest(topic):

                async def main(topic=topic, value=value):
                    async with open_testbed(TestbedPlan(vm_count=6)) as testbed:
                        await asyncio.sleep(5.0)
                        await send_fact(testbed, topic, value, "vm-of-nobody")
                        await asyncio.sleep(JUDGED_AFTER)
                        return oldest_summaries(testbed)

                ages = run_virtual(main())
                self.assertLess(max(ages.values()), MAX_AGE)
