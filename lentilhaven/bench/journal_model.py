"""
The scenario ``journal-model``: a model checker for the idempotency journal.

Two shard owners commit claims and settlements of two requests with the same key.
The scenario explores, within bounds, every interleaving of reads, writes, lost
answers, writes that take effect late, crashes of owners, repeated messages, late
grants and routers that give up.  The transitions are the pure functions of the
router and the agent; the model adds only the network and the store.
"""

from collections import deque
from collections.abc import Callable, Iterator

import attrs

from lentilhaven.bench.figure import at_most, observed
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    Settlement,
)
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import RequestId, RouteName, WorkspaceId
from lentilhaven.core.invariants import InvariantError
from lentilhaven.core.step import Step
from lentilhaven.idempotency.batch import (
    Base,
    Plan,
    WriteResult,
    conclude,
    plan_batch,
)
from lentilhaven.idempotency.guarded_call import GuardedCall
from lentilhaven.idempotency.operation import Operation
from lentilhaven.idempotency.segment import Segment
from lentilhaven.objects.write_outcome import (
    Ambiguous,
    Conflict,
    WriteOutcome,
    Written,
)

#: Number of states to explore if no size is given.
DEFAULT_SIZE = 2_000_000

LOST = Ambiguous(Failure(Step.WRITE_OBJECT, "object-api", "lost", "answer lost"))

#: States of a `GuardedCall` whose request may have been executed.
MAY_HAVE_RUN = frozenset({"sent", "uncertain", "done"})

Conclude = Callable[[Base, Plan, WriteOutcome], WriteResult]


@attrs.frozen
class ModelBounds:
    """
    Limits on the events in one execution of the model.

    Attributes
    ----------
    faults : int
        Maximum number of lost answers, late writes and crashes in total.
    messages : int
        Maximum number of copies that are sent of each claim and of each settlement.
    """

    faults: int
    messages: int


#: Bounds in the order in which they are explored, until the number of states to
#: explore is reached.
BOUNDS = [
    ModelBounds(faults=1, messages=1),
    ModelBounds(faults=2, messages=1),
    ModelBounds(faults=1, messages=2),
    ModelBounds(faults=2, messages=2),
]


@attrs.frozen
class LateWrite:
    """
    A write whose answer is lost and that may still reach the store.

    Attributes
    ----------
    expected_version : int
        Version on which the write is conditional.
    segment : Segment
        Content to write.
    """

    expected_version: int
    segment: Segment


@attrs.frozen
class ModelOwner:
    """
    State of an owner of the shard.

    Attributes
    ----------
    base : Base or None
        Newest version known to the owner; None if the owner must read the object.
    base_is_fresh : bool
        Whether no operation was queued since the base was read.
    operations : tuple of Operation
        Queued operations.
    writing : Plan or None
        Plan whose write is in progress.
    """

    base: Base | None = None
    base_is_fresh: bool = False
    operations: tuple[Operation, ...] = ()
    writing: Plan | None = None


@attrs.frozen
class ModelCall:
    """
    A request and its state in the router.

    Attributes
    ----------
    claim : ClaimRequest
        Claim that the router sends.
    state : str
        State of the request's `GuardedCall`.
    sends, claims, settlements : int
        Dispatches, claims and settlements sent so far.
    granted : bool
        Whether an owner has sent a grant to the router.
    executed : bool
        Whether the endpoint executed the request.
    """

    claim: ClaimRequest
    state: str = "claiming"
    sends: int = 0
    claims: int = 0
    settlements: int = 0
    granted: bool = False
    executed: bool = False


@attrs.frozen
class ModelState:
    """
    Global state of the model.

    Attributes
    ----------
    version : int
        Version of the object in the store.
    segment : Segment
        Content of the object.
    owners : tuple of ModelOwner
        Owners of the shard.
    calls : tuple of ModelCall
        Requests with the same key.
    late_writes : tuple of LateWrite
        Writes whose answers are lost and that may still reach the store.
    faults : int
        Number of faults so far.
    """

    version: int
    segment: Segment
    owners: tuple[ModelOwner, ...]
    calls: tuple[ModelCall, ...]
    late_writes: tuple[LateWrite, ...] = ()
    faults: int = 0

    def key(self) -> tuple:
        """
        Return a hashable value that is equal for equivalent states.

        The two owners are interchangeable, so their order is ignored.  Versions only
        rise, so a version is reduced to whether it is the store's version, and late
        writes on an older version are left out.
        """
        owners = sorted((owner_key(it, self.version) for it in self.owners), key=hash)
        late_keys = sorted(
            segment_key(it.segment)
            for it in self.late_writes
            if it.expected_version == self.version
        )
        stored = segment_key(self.segment)
        return stored, tuple(owners), self.calls, tuple(late_keys), self.faults


def segment_key(segment: Segment) -> str:
    """Return a string that is equal for equal segments."""
    if not segment.entries:
        return ""
    (entry,) = segment.entries.values()
    return f"{entry.request} {entry.state.value} {entry.withdrawn}"


def owner_key(owner: ModelOwner, version: int) -> tuple:
    """Return a hashable value that is equal for equivalent owners."""
    base = owner.base
    base_key = (base.version == version, segment_key(base.segment)) if base else None
    writing = segment_key(owner.writing.segment) if owner.writing else None
    return base_key, owner.base_is_fresh, owner.operations, writing


def initial_state() -> ModelState:
    """Return the initial state: an empty store and two requests for one key."""
    calls = tuple(
        ModelCall(
            ClaimRequest(WorkspaceId("w"), RouteName("r"), "k", "f", RequestId(name))
        )
        for name in ("q1", "q2")
    )
    return ModelState(0, Segment(), (ModelOwner(), ModelOwner()), calls)


def with_owner(state: ModelState, index: int, owner: ModelOwner) -> ModelState:
    """Return a state with one owner replaced."""
    owners = tuple(
        owner if position == index else it for position, it in enumerate(state.owners)
    )
    return attrs.evolve(state, owners=owners)


def with_call(state: ModelState, index: int, call: ModelCall) -> ModelState:
    """Return a state with one call replaced."""
    calls = tuple(
        call if position == index else it for position, it in enumerate(state.calls)
    )
    return attrs.evolve(state, calls=calls)


def successors(
    state: ModelState, bounds: ModelBounds, conclude: Conclude
) -> Iterator[ModelState]:
    """
    Yield every possible next state.

    Parameters
    ----------
    state : ModelState
        Current state.
    bounds : ModelBounds
        Limits on the events.
    conclude : callable
        The function `conclude`, or a faulty replacement in tests.
    """
    for index in range(len(state.calls)):
        yield from send_messages(state, index, bounds)
        yield from advance_call(state, index)
    for index in range(len(state.owners)):
        yield from advance_owner(state, index, conclude)
        if state.faults < bounds.faults:
            yield from fail_owner(state, index, conclude)
    yield from apply_late_writes(state)


def send_messages(
    state: ModelState, index: int, bounds: ModelBounds
) -> Iterator[ModelState]:
    """Yield states after a router sends a claim or a settlement."""
    call = state.calls[index]
    for position, owner in enumerate(state.owners):
        if call.state == "claiming" and call.claims < bounds.messages:
            sent = attrs.evolve(call, claims=call.claims + 1)
            queued = enqueue(owner, Operation(call.claim, 0))
            yield with_call(with_owner(state, position, queued), index, sent)
        settled = call.state in ("done", "uncertain", "not-run")
        if settled and call.settlements < bounds.messages:
            guarded = GuardedCall(call.claim, call.state, call.sends)
            message = Settlement(call.claim, guarded.settlement)
            sent = attrs.evolve(call, settlements=call.settlements + 1)
            queued = enqueue(owner, Operation(message, 0))
            yield with_call(with_owner(state, position, queued), index, sent)


def enqueue(owner: ModelOwner, operation: Operation) -> ModelOwner:
    """Return an owner with one more operation in its queue."""
    operations = (*owner.operations, operation)
    return attrs.evolve(owner, operations=operations, base_is_fresh=False)


def advance_call(state: ModelState, index: int) -> Iterator[ModelState]:
    """Yield states after a transition of a router's call."""
    call = state.calls[index]
    if call.granted and call.state == "claiming":
        yield with_call(state, index, apply_trigger(call, "grant"))
    if call.state in ("claiming", "granted"):
        yield with_call(state, index, apply_trigger(call, "give_up"))
    if call.state == "granted":
        for executed in (False, True):
            sent = attrs.evolve(apply_trigger(call, "let_out"), executed=executed)
            yield with_call(state, index, sent)
    if call.state == "sent":
        yield with_call(state, index, apply_trigger(call, "lose"))
        trigger = "finish" if call.executed else "disprove"
        yield with_call(state, index, apply_trigger(call, trigger))
    if call.state == "sent" and not call.executed:
        yield with_call(state, index, apply_trigger(call, "take_back"))


def apply_trigger(call: ModelCall, trigger: str) -> ModelCall:
    """Return a call after a transition of its `GuardedCall`."""
    guarded = GuardedCall(call.claim, call.state, call.sends)
    if trigger == "let_out":
        guarded.let_out()
    elif trigger == "take_back":
        guarded.take_back()
    else:
        guarded.apply_trigger(trigger)
    return attrs.evolve(call, state=guarded.state, sends=guarded.sends)


def advance_owner(
    state: ModelState, index: int, conclude: Conclude
) -> Iterator[ModelState]:
    """Yield states after an owner reads the object, plans a batch or ends a write."""
    owner = state.owners[index]
    if owner.writing is not None:
        yield finish_write(state, index, conclude)
        return
    if not owner.operations:
        return
    if owner.base is None:
        base = Base(state.version, state.segment)
        read = attrs.evolve(owner, base=base, base_is_fresh=True)
        yield with_owner(state, index, read)
        return
    plan = plan_batch(owner.base, owner.operations, 0.0)
    if plan.changed:
        yield with_owner(state, index, attrs.evolve(owner, writing=plan))
    elif plan.needs_fresh_base and not owner.base_is_fresh:
        yield with_owner(state, index, attrs.evolve(owner, base=None))
    else:
        yield deliver_answers(state, index, plan)


def finish_write(state: ModelState, index: int, conclude: Conclude) -> ModelState:
    """Return the state after the store executes a write and answers it."""
    owner = state.owners[index]
    assert owner.base is not None and owner.writing is not None
    if owner.base.version != state.version:
        return apply_outcome(state, index, Conflict(), conclude)
    version = state.version + 1
    written = attrs.evolve(state, version=version, segment=owner.writing.segment)
    return apply_outcome(written, index, Written(version), conclude)


def apply_outcome(
    state: ModelState, index: int, outcome: WriteOutcome, conclude: Conclude
) -> ModelState:
    """Return the state after an owner receives the outcome of its write."""
    owner = state.owners[index]
    assert owner.base is not None and owner.writing is not None
    plan = owner.writing
    conclusion = conclude(owner.base, plan, outcome)
    after = attrs.evolve(owner, base=conclusion.base, writing=None)
    state = with_owner(state, index, after)
    return deliver_answers(state, index, plan) if conclusion.confirmed else state


def deliver_answers(state: ModelState, index: int, plan: Plan) -> ModelState:
    """Return the state after an owner sends the answers of a plan."""
    owner = state.owners[index]
    count = len(plan.answers)
    for operation, answer in zip(owner.operations[:count], plan.answers, strict=True):
        granted = (
            isinstance(answer, ClaimAnswer) and answer.outcome is ClaimOutcome.GRANTED
        )
        if not granted:
            continue
        for position, call in enumerate(state.calls):
            if call.claim == operation.message:
                call = attrs.evolve(call, granted=True)
                state = with_call(state, position, call)
    updated = attrs.evolve(state.owners[index], operations=owner.operations[count:])
    return with_owner(state, index, updated)


def fail_owner(
    state: ModelState, index: int, conclude: Conclude
) -> Iterator[ModelState]:
    """Yield states after an owner's lost answer, late write or crash."""
    owner = state.owners[index]
    failed = attrs.evolve(state, faults=state.faults + 1)
    if owner.writing is not None:
        assert owner.base is not None
        late_write = LateWrite(owner.base.version, owner.writing.segment)
        pending = attrs.evolve(failed, late_writes=(*failed.late_writes, late_write))
        yield apply_outcome(failed, index, LOST, conclude)
        yield apply_outcome(pending, index, LOST, conclude)
        yield with_owner(pending, index, ModelOwner())
    if owner != ModelOwner():
        yield with_owner(failed, index, ModelOwner())


def apply_late_writes(state: ModelState) -> Iterator[ModelState]:
    """Yield states after a late write reaches the store."""
    for position, write in enumerate(state.late_writes):
        remaining_writes = (
            state.late_writes[:position] + state.late_writes[position + 1 :]
        )
        after = attrs.evolve(state, late_writes=remaining_writes)
        if write.expected_version == state.version:
            version = state.version + 1
            after = attrs.evolve(after, version=version, segment=write.segment)
        yield after


def find_violation(state: ModelState) -> str:
    """
    Return the violated property of a state, or an empty string.

    Parameters
    ----------
    state : ModelState
        State to check.
    """
    if sum(call.state in MAY_HAVE_RUN for call in state.calls) > 1:
        return "two requests were let out"
    if any(call.state == "not-run" and call.executed for call in state.calls):
        return "a request that is said not to have run has run"
    return ""


@attrs.define
class Exploration:
    """
    Result of an exploration.

    Attributes
    ----------
    states, transitions, depth : int
        Number of states and transitions explored, and number of transitions from the
        initial state to the state explored last.
    complete : bool
        Whether all states within the bounds were explored.
    violations : list of str
        Violated property; at most one, because the first ends the exploration.
    """

    states: int = 0
    transitions: int = 0
    depth: int = 0
    complete: bool = False
    violations: list[str] = attrs.field(factory=list)


def explore(
    bounds: ModelBounds, limit: int, conclude: Conclude = conclude
) -> Exploration:
    """
    Explore states breadth first until a violation is found or none are left.

    The exploration also ends when `limit` states have been explored.

    Parameters
    ----------
    bounds : ModelBounds
        Limits on the events.
    limit : int
        Maximum number of states to explore.
    conclude : callable
        The function `conclude`, or a faulty replacement in tests.
    """
    result = Exploration()
    first = initial_state()
    seen = {hash(first.key())}
    queue = deque([(first, 0)])
    while queue and result.states < limit:
        state, result.depth = queue.popleft()
        result.states += 1
        try:
            for after in successors(state, bounds, conclude):
                result.transitions += 1
                key = hash(after.key())
                if key not in seen:
                    seen.add(key)
                    queue.append((after, result.depth + 1))
                problem = find_violation(after)
                if problem:
                    result.violations.append(problem)
                    return result
        except InvariantError as error:
            result.violations.append(str(error))
            return result
    result.complete = not queue
    return result


def run_journal_model(options: ScenarioOptions) -> Report:
    """
    Explore the model within all bounds and report violations.

    Parameters
    ----------
    options : ScenarioOptions
        The size is the number of states.
    """
    remaining = options.size or DEFAULT_SIZE
    explorations: list[Exploration] = []
    for bounds in BOUNDS:
        if remaining > 0:
            explorations.append(explore(bounds, remaining))
            remaining -= explorations[-1].states
    violations = sum(len(result.violations) for result in explorations)
    figures = {
        "violations": at_most(violations, 0, "states"),
        "states": observed(sum(result.states for result in explorations), "states"),
        "transitions": observed(
            sum(it.transitions for it in explorations), "transitions"
        ),
        "depth": observed(max(result.depth for result in explorations), "steps"),
        "complete-bounds": observed(sum(it.complete for it in explorations), "bounds"),
    }
    return Report("journal-model", options.seed, figures)
