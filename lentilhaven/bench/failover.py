"""The scenario ``failover``: time until others take over a dead agent's duties."""

import asyncio
import random
from collections.abc import Callable

import attrs

from lentilhaven.bench.figure import Figure, at_least, at_most, observed
from lentilhaven.bench.quantiles import quantile
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.ids import EndpointId, VmId
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.distribution.tree import WATCHERS_PER_DATA_CENTRE, watch_key
from lentilhaven.load.load_poller import POLLERS, SUMMARISERS
from lentilhaven.membership.rendezvous import choose_owners
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.testbed import derive_testbed_random
from lentilhaven.testbed.testbed_vm import TestbedVm

#: Number of agents killed when no size is given.
DEFAULT_SIZE = 30

#: Seconds between two polls of the duties' owners.
POLL_INTERVAL = 0.02

#: Seconds after which waiting for the takeover of a duty ends.
TAKEOVER_TIMEOUT = 20.0

VM_COUNT = 18


@attrs.frozen
class Duty:
    """
    A task assigned to a fixed number of VMs.

    Attributes
    ----------
    kind : str
        Kind of duty: ``"watch"``, ``"summary"`` or ``"poll"``.
    owners : callable
        Returns the ids of the live VMs that own it now.
    count : int
        Number of VMs that must own it.
    """

    kind: str
    owners: Callable[[], set[VmId]]
    count: int


@attrs.define
class FailoverMeasurement:
    """
    Takeover times measured in a testbed.

    Attributes
    ----------
    testbed : Testbed
        System under test.
    rng : random.Random
        Source of random numbers.
    seconds : dict
        Seconds until each lost duty had all its owners again, by kind of duty;
        `TAKEOVER_TIMEOUT` if it did not.
    """

    testbed: Testbed
    rng: random.Random
    seconds: dict[str, list[float]] = attrs.field(factory=dict)

    def duties_of(self, vm: TestbedVm) -> list[Duty]:
        """
        Return the duties that a VM owns now.

        Add duties of other packages, such as shards and leases, here.

        Parameters
        ----------
        vm : TestbedVm
            The VM.
        """
        duties = [self.watch_duty(vm), self.summary_duty(vm)]
        duties += [self.poll_duty(endpoint) for endpoint in vm.agent.poller.specs]
        return [duty for duty in duties if vm.id in duty.owners()]

    def watch_duty(self, vm: TestbedVm) -> Duty:
        """Return the duty of watching the store for a VM's data centre."""
        data_centre = vm.data_centre

        def owners() -> set[VmId]:
            return {
                it.id
                for it in self.testbed.vms
                if it.data_centre == data_centre
                and it.agent.members.owns(
                    watch_key(data_centre), WATCHERS_PER_DATA_CENTRE, data_centre
                )
            }

        return Duty("watch", owners, WATCHERS_PER_DATA_CENTRE)

    def summary_duty(self, vm: TestbedVm) -> Duty:
        """Return the duty of writing the summary of a VM's data centre."""
        data_centre = vm.data_centre

        def owners() -> set[VmId]:
            return {
                it.id
                for it in self.testbed.vms
                if it.data_centre == data_centre
                and it.agent.members.owns(
                    f"summary/{data_centre}", SUMMARISERS, data_centre
                )
            }

        return Duty("summary", owners, SUMMARISERS)

    def poll_duty(self, endpoint: EndpointId) -> Duty:
        """Return the duty of polling an endpoint."""

        def owners() -> set[VmId]:
            return {
                it.id for it in self.testbed.vms if endpoint in it.agent.poller.specs
            }

        return Duty("poll", owners, POLLERS)

    async def kill(self, vm: TestbedVm, silent: bool) -> None:
        """
        Kill a VM and record the time until each of its duties has all owners again.

        The VM is restarted at the end.

        Parameters
        ----------
        vm : TestbedVm
            The VM.
        silent : bool
            Whether its connections stay open without traffic instead of closing.
        """
        duties = self.duties_of(vm)
        clock = self.testbed.clock
        network = self.testbed.network
        if silent:
            others = {it.id for it in self.testbed.vms if it is not vm} | {"store"}
            network.partition({vm.id}, others)
            self.testbed.vms.remove(vm)
        else:
            await self.testbed.kill_vm(vm)
        began = clock.monotonic()
        pending = list(duties)
        while pending and clock.monotonic() - began < TAKEOVER_TIMEOUT:
            await clock.sleep(POLL_INTERVAL)
            elapsed = clock.monotonic() - began
            for duty in [it for it in pending if len(it.owners()) >= it.count]:
                self.seconds.setdefault(duty.kind, []).append(elapsed)
                pending.remove(duty)
        for duty in pending:
            self.seconds.setdefault(duty.kind, []).append(TAKEOVER_TIMEOUT)
        await self.restart_vm(vm, silent)

    async def restart_vm(self, vm: TestbedVm, silent: bool) -> None:
        """Restart a killed or cut-off VM at its address and wait 5 to 8 seconds."""
        if silent:
            self.testbed.network.heal()
            self.testbed.vms.append(vm)
            await self.testbed.kill_vm(vm)
        port = int(vm.agent_url.rpartition(":")[2])
        await self.testbed.start_vm(vm.id, vm.data_centre, port)
        await self.testbed.clock.sleep(self.rng.uniform(5.0, 8.0))

    def count_unsettled(self) -> int:
        """Return the number of VMs whose agent does not see every VM as live."""
        vm_count = len(self.testbed.vms)
        return sum(
            len(vm.agent.members.live_ids()) != vm_count for vm in self.testbed.vms
        )


def moved_share(members: list[VmId], keys: int) -> float:
    """
    Return the share of duties that move although their old owner remains a member.

    Parameters
    ----------
    members : list of str
        Ids of the VMs; the first one leaves.
    keys : int
        Number of duties.
    """
    moved = 0
    for key in range(keys):
        before = choose_owners(f"key/{key}", members, 1)
        after = choose_owners(f"key/{key}", members[1:], 1)
        moved += before != after and before[0] != members[0]
    return moved / keys


def run_failover(options: ScenarioOptions) -> Report:
    """
    Kill agents that own watches, polls and summaries, and time the takeover.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of agents killed.
    """
    VIOLATIONS.clear()
    figures = run_virtual(kill_agents(options.seed, options.size or DEFAULT_SIZE))
    figures["violations"] = at_most(sum(VIOLATIONS.values()), 0, "invariants")
    return Report("failover", options.seed, figures)


async def kill_agents(seed: int, size: int) -> dict[str, Figure]:
    """Kill agents, every second one silently, and return the figures."""
    plan = TestbedPlan(seed=seed, vm_count=VM_COUNT)
    async with open_testbed(plan) as testbed:
        measurement = FailoverMeasurement(
            testbed, derive_testbed_random(testbed, "failover")
        )
        await asyncio.sleep(8.0)
        for index in range(size):
            owning_vms = [vm for vm in testbed.vms if measurement.duties_of(vm)]
            vm = measurement.rng.choice(owning_vms)
            await measurement.kill(vm, silent=index % 2 == 1)
        await asyncio.sleep(5.0)
        unsettled = measurement.count_unsettled()
    all_seconds = [it for seconds in measurement.seconds.values() for it in seconds]
    figures = {
        f"{kind}_p95": at_most(quantile(seconds, 0.95), 3.0, "s")
        for kind, seconds in sorted(measurement.seconds.items())
    }
    figures["any_p50"] = observed(quantile(all_seconds, 0.5), "s")
    figures["any_max"] = observed(max(all_seconds), "s")
    figures["duties"] = at_least(len(all_seconds), size, "duties")
    figures["unsettled"] = at_most(unsettled, 0, "VMs")
    names = [VmId(f"vm-{index}") for index in range(VM_COUNT)]
    figures["moved_needlessly"] = at_most(moved_share(names, 1000), 0, "ratio")
    return figures
