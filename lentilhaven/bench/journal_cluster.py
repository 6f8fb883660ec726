"""Simulated agents, routers and an endpoint, where a fault may occur at any await."""

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
from lentilhaven.idempotency.dispatch import DispatchCallbacks, DispatchResult, dispatch
from lentilhaven.idempotency.journal_peers import FORWARD_TIMEOUT
from lentilhaven.idempotency.operation import Answer, SettlementAnswer
from lentilhaven.idempotency.settler import Settler
from lentilhaven.router.agent_client import CLAIM_TIMEOUT

T = TypeVar("T")

#: Seconds after which the outcome of an unsettled claim counts as unknown.
IN_PROGRESS_LIMIT = 20.0


@attrs.define
class SimulatedVm:
    """
    A VM that runs an agent and a router, and can be paused.

    Attributes
    ----------
    vm : str
        VM id.
    node : JournalNode
        The agent's node of the journal.
    settler : Settler
        Sends the router's settlements.
    running : asyncio.Event
        Cleared while the VM is paused.
    agent_run, router_run : int
        Number of restarts, which identifies the current run of each process.
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
    Simulated VMs that share one faulty store of the idempotency journal.

    Also simulates the endpoint that the VMs call and counts its executions.

    Attributes
    ----------
    rng : random.Random
        Source of randomness.
    store : FaultyStore
        Store of the journal.
    clock : Clock
        Source of time.
    vms : dict
        `SimulatedVm` by VM id.
    cut_links : set of frozenset
        Pairs of VMs that cannot reach each other.
    executions : Counter
        Number of executions at the endpoint, by idempotency key.
    executions_by_request : Counter
        Number of executions at the endpoint, by request id.
    checks_keys : bool
        Whether the endpoint itself executes each key at most once.
    message_loss : float
        Share of messages to agents whose answers are lost; the agent still handles
        these messages.
    fault_counts : Counter
        Injected faults by name.
    tasks : set of asyncio.Task
        Late executions and agent calls that are still in progress.
    """

    rng: random.Random
    store: FaultyStore
    clock: Clock = attrs.field(factory=loop_clock)
    vms: dict[VmId, SimulatedVm] = attrs.field(factory=dict)
    cut_links: set[frozenset[VmId]] = attrs.field(factory=set)
    executions: Counter[str] = attrs.field(factory=Counter)
    executions_by_request: Counter[str] = attrs.field(factory=Counter)
    checks_keys: bool = False
    message_loss: float = 0.01
    fault_counts: Counter[str] = attrs.field(factory=Counter)
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    def add_vm(self, name: str) -> None:
        """Add a VM with a running agent and router."""
        vm = VmId(name)
        running = asyncio.Event()
        running.set()
        settler = Settler(lambda it: self.settle(vm, it), self.clock)
        self.vms[vm] = SimulatedVm(vm, self.new_node(vm, running), settler, running)

    def new_node(self, vm: VmId, running: asyncio.Event) -> JournalNode:
        """Return the journal node of a newly started agent."""
        budget = WriteBudget(self.clock, 50.0, 20.0)
        store = GatedStore(self.store, running)
        journal = Journal(store, self.clock, budget)

        async def forward(
            target: VmId, message: ClaimRequest | Settlement
        ) -> Result[Answer, Failure]:
            return await self.forward(vm, target, message)

        return JournalNode(vm, journal, forward, self.list_vms, self.clock)

    def list_vms(self) -> list[VmId]:
        """Return all VMs, as the platform does; its list contains dead ones too."""
        return sorted(self.vms)

    async def wait_while_paused(self, vm: VmId) -> None:
        """Wait while a VM is paused."""
        await self.vms[vm].running.wait()

    async def delay_message(self, vm: VmId) -> None:
        """Wait for a message's random delay, then while the VM is paused."""
        await asyncio.sleep(self.rng.uniform(0, 0.004))
        await self.wait_while_paused(vm)

    async def restart_agent(self, vm: VmId) -> None:
        """Crash a VM's agent and restart it at the same address."""
        simulated_vm = self.vms[vm]
        simulated_vm.agent_run += 1
        old, simulated_vm.node = (
            simulated_vm.node,
            self.new_node(vm, simulated_vm.running),
        )
        await old.journal.close()

    async def restart_router(self, vm: VmId) -> None:
        """Crash a VM's router, which loses all its calls, and restart it."""
        simulated_vm = self.vms[vm]
        simulated_vm.router_run += 1
        old = simulated_vm.settler
        simulated_vm.settler = Settler(lambda it: self.settle(vm, it), self.clock)
        await old.close()

    async def forward(
        self, vm: VmId, target: VmId, message: ClaimRequest | Settlement
    ) -> Result[Answer, Failure]:
        """Forward a message to another agent; return a failure if no answer arrives."""
        if frozenset((vm, target)) in self.cut_links:
            await asyncio.sleep(FORWARD_TIMEOUT)
            return Error(unanswered_message(target))
        outcome = await self.call_agent(
            target,
            lambda node: node.commit(message),
            FORWARD_TIMEOUT,
        )
        await self.wait_while_paused(vm)
        return Ok(outcome) if outcome is not None else Error(unanswered_message(target))

    async def call_agent(
        self,
        vm: VmId,
        operation: Callable[[JournalNode], Awaitable[T]],
        timeout: float,
    ) -> T | None:
        """
        Call an agent, which completes the operation even after a timeout.

        Return None if the answer is lost or late, or if the agent has restarted
        meanwhile.  `timeout` is in seconds.
        """

        async def deliver() -> T | None:
            await self.delay_message(vm)
            run = self.vms[vm].agent_run
            answer = await operation(self.vms[vm].node)
            await self.delay_message(vm)
            return answer if run == self.vms[vm].agent_run else None

        task = asyncio.create_task(deliver())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        done, _ = await asyncio.wait({task}, timeout=timeout)
        lost = not done or self.rng.random() < self.message_loss
        return None if lost else task.result()

    async def claim(self, vm: VmId, claim: ClaimRequest) -> ClaimAnswer:
        """Send a claim to a VM's agent, as its router does."""
        answer: Any = await self.call_agent(
            vm, lambda node: node.submit(claim), CLAIM_TIMEOUT
        )
        await self.wait_while_paused(vm)
        if answer is None:
            outcome = ClaimOutcome.UNAVAILABLE
            failure = unanswered_message(vm)
            return ClaimAnswer(outcome, failure=failure, may_stand=True)
        return answer

    async def settle(self, vm: VmId, settlement: Settlement) -> bool:
        """Send a settlement as the VM's router does; return whether it is confirmed."""
        answer: Any = await self.call_agent(
            vm, lambda node: node.submit(settlement), CLAIM_TIMEOUT
        )
        return isinstance(answer, SettlementAnswer) and answer.confirmed

    async def send(self, claim: ClaimRequest) -> Result[RecordedResponse, Failure]:
        """
        Send a call to the endpoint.

        The endpoint may refuse the call or execute it up to 10 seconds late, and the
        call or its response may be lost.
        """
        await asyncio.sleep(self.rng.uniform(0, 0.02))
        effect = self.rng.choices(
            ["run", "refuse", "lose", "lose-answer", "run-late"], [90, 4, 2, 2, 2]
        )[0]
        if effect == "refuse":
            return Error(Failure(Step.SEND, "endpoint", "refused", "injected"))
        if effect in ("run", "lose-answer"):
            self.execute(claim)
        if effect == "run-late":
            task = asyncio.create_task(self.execute_late(claim))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if effect == "run":
            return Ok(RecordedResponse(200, "text/plain", claim.request))
        failure = Failure(Step.SEND, "endpoint", "lost", "injected", Ran.UNKNOWN)
        return Error(failure)

    def execute(self, claim: ClaimRequest) -> None:
        """Count an execution, unless the endpoint checks keys and knows this one."""
        if self.checks_keys and self.executions[claim.key]:
            return
        self.executions[claim.key] += 1
        self.executions_by_request[claim.request] += 1

    async def execute_late(self, claim: ClaimRequest) -> None:
        """Execute a call up to 10 seconds after its connection was lost."""
        await asyncio.sleep(self.rng.uniform(0, 10.0))
        self.execute(claim)

    async def call(self, vm: VmId, key: str, body: str) -> tuple[str, DispatchResult]:
        """Make a call through a VM's router; return the request id and the outcome."""
        request = RequestId(f"{self.rng.getrandbits(64):x}")
        claim = ClaimRequest(
            WorkspaceId("w"),
            RouteName("r"),
            key,
            body,
            request,
            in_progress_limit=IN_PROGRESS_LIMIT,
            rerun_unknown=self.checks_keys,
        )
        simulated_vm = self.vms[vm]

        async def send() -> Result[RecordedResponse, Failure]:
            await self.wait_while_paused(vm)
            return await self.send(claim)

        ports = DispatchCallbacks(
            lambda it: self.claim(vm, it),
            send,
            self.settle_in_current_run(vm),
            max_sends=2,
        )
        await self.wait_while_paused(vm)
        task = simulated_vm.settler.run_tracked(dispatch(GuardedCall(claim), ports))
        try:
            return request, await task
        except asyncio.CancelledError:
            return request, DispatchResult(Ran.UNKNOWN)

    def settle_in_current_run(self, vm: VmId) -> Callable[[Settlement], None]:
        """Return a function that settles calls until the router restarts."""
        run = self.vms[vm].router_run

        def settle(settlement: Settlement) -> None:
            if run == self.vms[vm].router_run:
                self.vms[vm].settler.settle(settlement)

        return settle


def unanswered_message(vm: VmId) -> Failure:
    """Return the failure of a message without an answer."""
    detail = "no answer"
    return Failure(Step.CLAIM, vm, "agent-lost", detail, Ran.UNKNOWN, 1.0)
