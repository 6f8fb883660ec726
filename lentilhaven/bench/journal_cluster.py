"""Agents, routers and an endpoint in one process, with faults at every await."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import attrs
from expression import Error, Ok, Result

from lentilhaven.bench.faulty_store import FaultyStore
from lentilhaven.bench.gated_store import GatedStore
from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    RecordedResponse,
    Settlement,
)
from lentilhaven.core.clock import Clock, loop_clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import RequestId, RouteName, VmId, WorkspaceId
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.idempotency import (
    GuardedCall,
    Journal,
    JournalNode,
    WriteBudget,
)
from lentilhaven.idempotency.dispatch import Dispatched, DispatchPorts, dispatch
from lentilhaven.idempotency.journal_peers import FORWARD_TIMEOUT
from lentilhaven.idempotency.operation import Answer, Settled
from lentilhaven.idempotency.settler import Settler
from lentilhaven.router.agent_client import CLAIM_TIMEOUT

T = TypeVar("T")

#: Seconds after which a claim without a settlement counts as unknown.
IN_PROGRESS_LIMIT = 20.0


@attrs.define
class ModelVm:
    """
    One VM: an agent, a router and their faults.

    Attributes
    ----------
    vm : str
        Its name.
    node : JournalNode
        Its agent's part in the journal.
    settler : Settler
        Its router's settlements.
    running : asyncio.Event
        Cleared while the VM is paused.
    agent_run, router_run : int
        Numbers of the present runs of agent and router.
    """

    vm: VmId
    node: JournalNode
    settler: Settler
    running: asyncio.Event
    agent_run: int = 0
    router_run: int = 0


@attrs.define
class JournalCluster:
    """
    Several VMs over one faulty store.

    Attributes
    ----------
    source : random.Random
        Source of chance.
    store : FaultyStore
        The platform's store.
    clock : Clock
        Source of time.
    vms : dict
        `ModelVm` by name.
    cut : set of frozenset
        Pairs of VMs that can't reach each other.
    runs : Counter
        Runs by key.
    run_by : Counter
        Runs by request.
    checks_keys : bool
        Whether the endpoint itself runs a key at most once.
    message_loss : float
        Share of messages to agents whose answer is lost.
    events : Counter
        Faults by name.
    tasks : set of asyncio.Task
        Runs that the endpoint has not begun.
    """

    source: random.Random
    store: FaultyStore
    clock: Clock = attrs.field(factory=loop_clock)
    vms: dict[VmId, ModelVm] = attrs.field(factory=dict)
    cut: set[frozenset[VmId]] = attrs.field(factory=set)
    runs: Counter[str] = attrs.field(factory=Counter)
    run_by: Counter[str] = attrs.field(factory=Counter)
    checks_keys: bool = False
    message_loss: float = 0.01
    events: Counter[str] = attrs.field(factory=Counter)
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    def add_vm(self, name: str) -> None:
        """Start a VM."""
        vm = VmId(name)
        running = asyncio.Event()
        running.set()
        settler = Settler(lambda it: self.settle(vm, it), self.clock)
        self.vms[vm] = ModelVm(vm, self.new_node(vm, running), settler, running)

    def new_node(self, vm: VmId, running: asyncio.Event) -> JournalNode:
        """Return a new run of a VM's agent."""
        budget = WriteBudget(self.clock, 50.0, 20.0)
        store = GatedStore(self.store, running)
        journal = Journal(store, self.clock, budget)

        async def forward(
            target: VmId, message: ClaimRequest | Settlement
        ) -> Result[Answer, Failure]:
            return await self.forward(vm, target, message)

        return JournalNode(vm, journal, forward, self.listed, self.clock)

    def listed(self) -> list[VmId]:
        """Return the VMs that the platform lists; it names dead ones too."""
        return sorted(self.vms)

    async def pass_gate(self, vm: VmId) -> None:
        """Wait while a VM is paused."""
        await self.vms[vm].running.wait()

    async def hop(self, vm: VmId) -> None:
        """Take the time of a message, and that of a pause."""
        await asyncio.sleep(self.source.uniform(0, 0.004))
        await self.pass_gate(vm)

    async def restart_agent(self, vm: VmId) -> None:
        """Crash a VM's agent and start it at the same address."""
        held = self.vms[vm]
        held.agent_run += 1
        old, held.node = held.node, self.new_node(vm, held.running)
        await old.journal.close()

    async def restart_router(self, vm: VmId) -> None:
        """Crash a VM's router with all its calls."""
        held = self.vms[vm]
        held.router_run += 1
        old = held.settler
        held.settler = Settler(lambda it: self.settle(vm, it), self.clock)
        await old.close()

    async def forward(
        self, vm: VmId, target: VmId, message: ClaimRequest | Settlement
    ) -> Result[Answer, Failure]:
        """Carry a message to another agent, or lose it."""
        if frozenset((vm, target)) in self.cut:
            await asyncio.sleep(FORWARD_TIMEOUT)
            return Error(lost_message(target))
        outcome = await self.call_agent(
            target,
            lambda node: node.journal.submit(message),
            FORWARD_TIMEOUT,
        )
        await self.pass_gate(vm)
        return Ok(outcome) if outcome is not None else Error(lost_message(target))

    async def call_agent(
        self,
        vm: VmId,
        use: Callable[[JournalNode], Awaitable[T]],
        timeout: float,
    ) -> T | None:
        """Run something in an agent, which goes on though nobody waits for it."""

        async def carry() -> T | None:
            await self.hop(vm)
            run = self.vms[vm].agent_run
            answer = await use(self.vms[vm].node)
            await self.hop(vm)
            return answer if run == self.vms[vm].agent_run else None

        task = asyncio.create_task(carry())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        done, _ = await asyncio.wait({task}, timeout=timeout)
        lost = not done or self.source.random() < self.message_loss
        return None if lost else task.result()

    async def claim(self, vm: VmId, claim: ClaimRequest) -> ClaimAnswer:
        """Ask a VM's agent for a claim, as its router does."""
        answer: Any = await self.call_agent(
            vm, lambda node: node.submit(claim), CLAIM_TIMEOUT
        )
        await self.pass_gate(vm)
        if answer is None:
            outcome = ClaimOutcome.UNAVAILABLE
            failure = lost_message(vm)
            return ClaimAnswer(outcome, failure=failure, may_stand=True)
        return answer

    async def settle(self, vm: VmId, settlement: Settlement) -> bool:
        """Settle at a VM's agent, as its router does."""
        answer: Any = await self.call_agent(
            vm, lambda node: node.submit(settlement), CLAIM_TIMEOUT
        )
        return isinstance(answer, Settled) and answer.confirmed

    async def send(self, claim: ClaimRequest) -> Result[RecordedResponse, Failure]:
        """Send a call to the endpoint, which may lose it on either way."""
        await asyncio.sleep(self.source.uniform(0, 0.02))
        kind = self.source.choices(
            ["run", "refuse", "lose", "lose-answer", "run-late"], [90, 4, 2, 2, 2]
        )[0]
        if kind == "refuse":
            return Error(Failure(Step.SEND, "endpoint", "refused", "injected"))
        if kind in ("run", "lose-answer"):
            self.run(claim)
        if kind == "run-late":
            task = asyncio.create_task(self.run_late(claim))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if kind == "run":
            return Ok(RecordedResponse(200, "text/plain", claim.request))
        failure = Failure(Step.SEND, "endpoint", "lost", "injected", Ran.UNKNOWN)
        return Error(failure)

    def run(self, claim: ClaimRequest) -> None:
        """Count a run, unless the endpoint knows the key."""
        if self.checks_keys and self.runs[claim.key]:
            return
        self.runs[claim.key] += 1
        self.run_by[claim.request] += 1

    async def run_late(self, claim: ClaimRequest) -> None:
        """Run a call whose connection is long gone."""
        await asyncio.sleep(self.source.uniform(0, 10.0))
        self.run(claim)

    async def call(self, vm: VmId, key: str, body: str) -> tuple[str, Dispatched]:
        """Make one call through a VM's router; return its request and its end."""
        request = RequestId(f"{self.source.getrandbits(64):x}")
        claim = ClaimRequest(
            WorkspaceId("w"),
            RouteName("r"),
            key,
            body,
            request,
            in_progress_limit=IN_PROGRESS_LIMIT,
            rerun_unknown=self.checks_keys,
        )
        held = self.vms[vm]

        async def send() -> Result[RecordedResponse, Failure]:
            await self.pass_gate(vm)
            return await self.send(claim)

        ports = DispatchPorts(
            lambda it: self.claim(vm, it), send, self.settle_in(vm), max_sends=2
        )
        await self.pass_gate(vm)
        task = held.settler.keep(dispatch(GuardedCall(claim), ports))
        try:
            return request, await task
        except asyncio.CancelledError:
            return request, Dispatched(Ran.UNKNOWN)

    def settle_in(self, vm: VmId) -> Callable[[Settlement], None]:
        """Return what settles within the present run of a router."""
        run = self.vms[vm].router_run

        def settle(settlement: Settlement) -> None:
            if run == self.vms[vm].router_run:
                self.vms[vm].settler.settle(settlement)

        return settle


def lost_message(vm: VmId) -> Failure:
    """Return the failure of a message that was not answered."""
    detail = "no answer"
    return Failure(Step.CLAIM, vm, "agent-lost", detail, Ran.UNKNOWN, 1.0)
