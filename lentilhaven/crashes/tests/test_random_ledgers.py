"""
Random fleets whose gateways find out which requests end endpoints.

More of them are played with ``python -m lentilhaven.crashes.tests.test_random_ledgers
FIRST LAST``.
"""

import math
import random
import sys
import unittest
from collections.abc import Callable, Iterator

import attrs

from lentilhaven.crashes.tests.ledger_model import (
    START_TIME,
    Findings,
    Model,
    ModelEndpoint,
    Traffic,
    make_gateways,
)
from lentilhaven.peering.subject import Subject

#: Seconds of sound requests before the first crash, and after it.
QUIET_TIME, MIXED_TIME = 20.0, 60.0

#: Seconds after the third crash from which arrivals are counted, and the allowed ones.
LEARNING_TIME, ALLOWED_ARRIVALS = 3.0, 3

#: The same until the time at which a second trial may come.
COUNTED_TIME = 115.0

#: Longest time for which a sound subject may be refused, in seconds: until its trial
#: has been answered.
MAX_REFUSAL = 20.0

#: Seconds after the third crash from which hot sound requests must be served, and the
#: share of them.
RECOVERY_TIME, MIN_SERVED = 15.0, 0.95

#: Seeds of the fleets in the test suite.
SEEDS = (15, 183, 197)


@attrs.define
class Plan:
    """What is drawn for a seed: the fleet, its callers, and its ordinary crashes."""

    model: Model
    traffic: list[Traffic]
    ordinary: str = ""
    seconds: float = QUIET_TIME + MIXED_TIME


def draw_plan(seed: int) -> Plan:
    """Return the fleet of a seed."""
    source = random.Random(seed)
    size = source.choice((3, 3, 12, 38))
    model = Model(
        source,
        make_gateways(source.choice((2, 3, 6, 10, 15)), source),
        {"lookup": [ModelEndpoint(f"e{number}", "lookup") for number in range(size)]},
        down_time=source.uniform(1.5, 4.0),
        loss=source.choice((0.0, 0.0, 0.05, 0.3)),
        delay=source.choice((0.005, 0.03, 0.15)),
        notice_time=source.choice((0.0, 0.02, 0.02, 0.5)),
    )
    traffic = [Traffic("unique", source.uniform(5.0, 30.0))]
    for number in range(source.randint(0, 2)):
        seconds = source.choice(((0.02, 0.1), (0.3, 1.0), (1.0, 3.0)))
        rate = source.uniform(1.0, 20.0)
        traffic.append(Traffic(f"hot{number}", rate, seconds=seconds, is_hot=True))
    if source.random() < 0.5:
        seconds = source.choice(((0.02, 0.1), (0.5, 1.0), (2.0, 4.0)))
        rate = source.uniform(1.0, 20.0)
        traffic.append(Traffic("new", rate, QUIET_TIME, seconds=seconds, is_hot=True))
    if source.random() < 0.5:
        rate = source.uniform(0.2, 4.0)
        traffic.append(Traffic("slow", rate, seconds=(4.0, 12.0), part="common"))
    ordinary = source.choice(("", "", "single", "half", "all"))
    kind = source.choice(("request", "request", "two", "part", "none"))
    traffic += draw_crashing(source, kind)
    return Plan(model, traffic, ordinary if kind != "none" else ordinary or "half")


def draw_crashing(source: random.Random, kind: str) -> list[Traffic]:
    """Return the crashing requests of a kind."""
    found = []
    for number in range({"two": 2, "none": 0}.get(kind, 1)):
        late = source.choice((0.0, 0.1, 0.1, 1.0, 2.0))
        found.append(
            Traffic(
                f"bad{number}",
                source.choice((0.05, 0.3, 1.0, 3.0, 10.0)),
                QUIET_TIME + source.choice((0.0, 0.0, 5.0)) * number,
                is_hot=kind != "part",
                part="bad-part" if kind == "part" else "",
                crash=(late * source.choice((0.0, 0.5, 1.0)), late),
                may_repeat=source.random() < 0.7,
            )
        )
    return found


def schedule_ordinary(plan: Plan) -> None:
    """Let endpoints crash for their own reasons."""
    model = plan.model
    source = model.random
    endpoints = model.endpoints["lookup"]

    def crashing(endpoint: ModelEndpoint) -> Callable[[], None]:
        return lambda: endpoint.is_up and model.crash(endpoint)

    at = QUIET_TIME + source.uniform(-5.0, 10.0)
    if plan.ordinary == "single":
        for number in range(8):
            endpoint = source.choice(endpoints)
            model.after(at + number * source.uniform(3.0, 6.0), crashing(endpoint))
    elif plan.ordinary:
        count = len(endpoints) if plan.ordinary == "all" else len(endpoints) // 2
        for endpoint in source.sample(endpoints, count):
            model.after(at + source.uniform(0.0, 2.0), crashing(endpoint))


def play(seed: int) -> tuple[Plan, Findings]:
    """Play the fleet of a seed."""
    plan = draw_plan(seed)
    for traffic in plan.traffic:
        plan.model.send_traffic(traffic)
    schedule_ordinary(plan)
    return plan, plan.model.run(plan.model.now + plan.seconds)


def find_faults(plan: Plan, findings: Findings) -> list[str]:
    """Return the rules that were broken, each as a line."""
    return [
        *find_late_arrivals(plan, findings),
        *find_refusals(findings),
        *find_unserved(plan, findings),
    ]


def culprits(plan: Plan) -> list[Subject]:
    """Return the subjects that end endpoints."""
    return sorted(
        {it.culprit() for it in plan.traffic if it.crash is not None},
        key=lambda it: it.name,
    )


def find_late_arrivals(plan: Plan, findings: Findings) -> Iterator[str]:
    """Yield the subjects that have reached endpoints too often."""
    for subject in culprits(plan):
        late = findings.arrivals_between(subject, LEARNING_TIME, COUNTED_TIME)
        if late > ALLOWED_ARRIVALS:
            crashes = len(findings.crashes[subject])
            yield f"{subject.name}: {late} late arrivals, {crashes} crashes"


def find_refusals(findings: Findings) -> Iterator[str]:
    """Yield the sound subjects that were refused for too long."""
    for (subject, traffic), (count, seconds) in sorted(findings.refusals().items()):
        if seconds > MAX_REFUSAL:
            yield f"{traffic} refused for {subject}: {count} in {seconds:.1f} s"


def find_unserved(plan: Plan, findings: Findings) -> Iterator[str]:
    """Yield the hot sound requests that were not served although all was known."""
    thirds = [findings.third_crash(it) for it in culprits(plan)]
    if math.inf in thirds or plan.ordinary == "single":
        return
    begin = max(thirds, default=START_TIME + QUIET_TIME + 15.0) + RECOVERY_TIME
    for traffic in plan.traffic:
        if traffic.is_hot and traffic.crash is None:
            share = findings.served_share(traffic.name, begin, plan.model.now - 8.0)
            if share < MIN_SERVED:
                yield f"{traffic.name}: {share:.2f} served"


class RandomLedgerTests(unittest.TestCase):
    """Guard against crashing requests that go on, and refusals of sound ones."""

    def test_random_fleets(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(find_faults(*play(seed)), [])


def describe(plan: Plan) -> str:
    """Return a line that describes the fleet of a seed."""
    model = plan.model
    callers = ", ".join(
        f"{it.name} {it.rate:.1f}/s"
        + (f" crash {it.crash[0]:.1f}-{it.crash[1]:.1f}" if it.crash else "")
        + (f" {it.seconds[0]}-{it.seconds[1]} s" if it.crash is None else "")
        for it in plan.traffic
    )
    return (
        f"{len(model.gateways)} gateways, {len(model.endpoints['lookup'])} endpoints, "
        f"loss {model.loss}, delay {model.delay}, notice {model.notice_time}, "
        f"down {model.down_time:.1f}, ordinary {plan.ordinary or 'none'}; {callers}"
    )


def main(first: int, last: int) -> None:
    """Play the fleets of a range of seeds, and print those that break a rule."""
    failed = 0
    for seed in range(first, last):
        plan, findings = play(seed)
        faults = find_faults(plan, findings)
        if faults:
            failed += 1
            print(f"{seed}: {'; '.join(faults)}\n    {describe(plan)}", flush=True)
    print(f"{failed} of {last - first} seeds failed")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
