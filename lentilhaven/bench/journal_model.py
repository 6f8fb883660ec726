"""
The scenario ``journal-model``: every interleaving of a small journal.

Two owners commit claims and settlements of two requests for one key.  Every
order of reads, writes, lost answers, writes that take effect late, crashes of
owners, repeated messages, late grants and routers that give up is explored up
to a bound.  The transitions are the product's own pure functions; the model
adds only the network and the store.
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
    Conclusion,
    Plan,
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

#: States explored when no size is given.
DEFAULT_SIZE = 2_000_000

LOST = Ambiguous(Failure(Step.WRITE_OBJECT, "object-api", "lost", "answer lost"))

#: States of a call that may have run.
LET_OUT = frozenset({"sent", "uncertain", "done"})

Conclude = Callable[[Base, Plan, WriteOutcome], Conclusion]


@attrs.frozen
class ModelBounds:
    """
    How often each thing may happen in one run.

    Attributes
    ----------
    faults : int
        Lost answers, late writes and crashes.
    messages : int
        Copies of each claim and of each settlement.
    """

    faults: int
    messages: int


#: Bounds explored one after the other, each as far as the number of states allows.
BOUNDS = [
    ModelBounds(faults=1, messages=1),
    ModelBounds(faults=2, messages=1),
    ModelBounds(faults=1, messages=2),
    ModelBounds(faults=2, messages=2),
]


@attrs.frozen
class LateWrite:
    """
    A write on its way to the store.

    Attributes
    ----------
    expected_version : int
        The version that it is conditional on.
    segment : Segment
        What it writes.
    """

    expected_version: int
    segment: Segment


@attrs.frozen
class ModelOwner:
    """
    What an owner of the shard knows.

    Attributes
    ----------
    base : Base or None
        Newest version that it knows.
    fresh : bool
        Whether nothing was queued since the base was read.
    operations : tuple of Operation
        What waits.
    writing : Plan or None
        The plan that is being written.
    """

    base: Base | None = None
    fresh: bool = False
    operations: tuple[Operation, ...] = ()
    writing: Plan | None = None


@attrs.frozen
class ModelCall:
    """
    A request and the router that makes it.

    Attributes
    ----------
    claim : ClaimRequest
        The request.
    state : str
        State of its `GuardedCall`.
    sends, claims, settlements : int
        Dispatches, and messages sent so far.
    granted : bool
        Whether a grant is on its way to the router.
    executed : bool
        Whether the endpoint ran it.
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
    A state of the whole model.

    Attributes
    ----------
    version : int
        Version of the object in the store.
    segment : Segment
        Its content.
    owners : tuple of ModelOwner
        The owners.
    calls : tuple of ModelCall
        The requests.
    late : tuple of LateWrite
        Writes whose answers are lost and that may still take effect.
    faults : int
        Faults so far.
    """

    version: int
    segment: Segment
    owners: tuple[ModelOwner, ...]
    calls: tuple[ModelCall, ...]
    late: tuple[LateWrite, ...] = ()
    faults: int = 0

    def key(self) -> tuple:
        """
        Return a hashable value that is equal for states with equal futures.

        The two owners are alike, so that their order does not matter.  Of a
        version it only matters whether it is the store's, since versions rise.
        """
        owners = sorted((owner_key(it, self.version) for it in self.owners), key=hash)
        late = sorted(
            segment_key(it.segment)
            for it in self.late
            if it.expected_version == self.version
        )
        stored = segment_key(self.segment)
        return stored, tuple(owners), self.calls, tuple(late), self.faults


def segment_key(segment: Segment) -> str:
    """Return a value that is equal for equal segments."""
    if not segment.entries:
        return ""
    (entry,) = segment.entries.values()
    return f"{entry.request} {entry.state.value} {entry.withdrawn}"


def owner_key(owner: ModelOwner, version: int) -> tuple:
    """Return a hashable value that is equal for owners with equal futures."""
    base = owner.base
    held = (base.version == version, segment_key(base.segment)) if base else None
    writing = segment_key(owner.writing.segment) if owner.writing else None
    return held, owner.fresh, owner.operations, writing


def first_state() -> ModelState:
    """Return the state in which nothing has happened."""
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
        owner if place == index else it for place, it in enumerate(state.owners)
    )
    return attrs.evolve(state, owners=owners)


def with_call(state: ModelState, index: int, call: ModelCall) -> ModelState:
    """Return a state with one call replaced."""
    calls = tuple(
        call if place == index else it for place, it in enumerate(state.calls)
    )
    return attrs.evolve(state, calls=calls)


def successors(
    state: ModelState, bounds: ModelBounds, conclude: Conclude
) -> Iterator[ModelState]:
    """
    Yield every state that may follow.

    Parameters
    ----------
    state : ModelState
        The state before.
    bounds : ModelBounds
        How often each thing may happen.
    conclude : callable
        The product's `conclude`, or a broken one.
    """
    for index in range(len(state.calls)):
        yield from send_messages(state, index, bounds)
        yield from move_call(state, index)
    for index in range(len(state.owners)):
        yield from move_owner(state, index, conclude)
        if state.faults < bounds.faults:
            yield from fail_owner(state, index, conclude)
    yield from land_late(state)


def send_messages(
    state: ModelState, index: int, bounds: ModelBounds
) -> Iterator[ModelState]:
    """Yield states in which a router sent a claim or a settlement."""
    call = state.calls[index]
    for place, owner in enumerate(state.owners):
        if call.state == "claiming" and call.claims < bounds.messages:
            sent = attrs.evolve(call, claims=call.claims + 1)
            queued = enqueue(owner, Operation(call.claim, 0))
            yield with_call(with_owner(state, place, queued), index, sent)
        settled = call.state in ("done", "uncertain", "not-run")
        if settled and call.settlements < bounds.messages:
            guarded = GuardedCall(call.claim, call.state, call.sends)
            message = Settlement(call.claim, guarded.settlement)
            sent = attrs.evolve(call, settlements=call.settlements + 1)
            queued = enqueue(owner, Operation(message, 0))
            yield with_call(with_owner(state, place, queued), index, sent)


def enqueue(owner: ModelOwner, operation: Operation) -> ModelOwner:
    """Return an owner with one more operation waiting."""
    operations = (*owner.operations, operation)
    return attrs.evolve(owner, operations=operations, fresh=False)


def move_call(state: ModelState, index: int) -> Iterator[ModelState]:
    """Yield states in which a router moved its call on."""
    call = state.calls[index]
    if call.granted and call.state == "claiming":
        yield with_call(state, index, moved(call, "grant"))
    if call.state in ("claiming", "granted"):
        yield with_call(state, index, moved(call, "give_up"))
    if call.state == "granted":
        for executed in (False, True):
            sent = attrs.evolve(moved(call, "let_out"), executed=executed)
            yield with_call(state, index, sent)
    if call.state == "sent":
        yield with_call(state, index, moved(call, "lose"))
        trigger = "finish" if call.executed else "disprove"
        yield with_call(state, index, moved(call, trigger))
    if call.state == "sent" and not call.executed:
        yield with_call(state, index, moved(call, "take_back"))


def moved(call: ModelCall, trigger: str) -> ModelCall:
    """Return a call after the product's state machine has moved."""
    guarded = GuardedCall(call.claim, call.state, call.sends)
    if trigger == "let_out":
        guarded.let_out()
    elif trigger == "take_back":
        guarded.take_back()
    else:
        guarded.move(trigger)
    return attrs.evolve(call, state=guarded.state, sends=guarded.sends)


def move_owner(
    state: ModelState, index: int, conclude: Conclude
) -> Iterator[ModelState]:
    """Yield states in which an owner read, planned or finished a write."""
    owner = state.owners[index]
    if owner.writing is not None:
        yield finish_write(state, index, conclude)
        return
    if not owner.operations:
        return
    if owner.base is None:
        base = Base(state.version, state.segment)
        read = attrs.evolve(owner, base=base, fresh=True)
        yield with_owner(state, index, read)
        return
    plan = plan_batch(owner.base, owner.operations, 0.0)
    if plan.changed:
        yield with_owner(state, index, attrs.evolve(owner, writing=plan))
    elif plan.needs_fresh_base and not owner.fresh:
        yield with_owner(state, index, attrs.evolve(owner, base=None))
    else:
        yield answer(state, index, plan)


def finish_write(state: ModelState, index: int, conclude: Conclude) -> ModelState:
    """Return the state after a write reached the store and was answered."""
    owner = state.owners[index]
    assert owner.base is not None and owner.writing is not None
    if owner.base.version != state.version:
        return follow_outcome(state, index, Conflict(), conclude)
    version = state.version + 1
    written = attrs.evolve(state, version=version, segment=owner.writing.segment)
    return follow_outcome(written, index, Written(version), conclude)


def follow_outcome(
    state: ModelState, index: int, outcome: WriteOutcome, conclude: Conclude
) -> ModelState:
    """Return the state after an owner learned of an outcome."""
    owner = state.owners[index]
    assert owner.base is not None and owner.writing is not None
    plan = owner.writing
    conclusion = conclude(owner.base, plan, outcome)
    after = attrs.evolve(owner, base=conclusion.base, writing=None)
    state = with_owner(state, index, after)
    return answer(state, index, plan) if conclusion.confirmed else state


def answer(state: ModelState, index: int, plan: Plan) -> ModelState:
    """Return the state after an owner gave a plan's answers."""
    owner = state.owners[index]
    count = len(plan.answers)
    for operation, given in zip(owner.operations[:count], plan.answers, strict=True):
        granted = (
            isinstance(given, ClaimAnswer) and given.outcome is ClaimOutcome.GRANTED
        )
        if not granted:
            continue
        for place, call in enumerate(state.calls):
            if call.claim == operation.message:
                call = attrs.evolve(call, granted=True)
                state = with_call(state, place, call)
    rest = attrs.evolve(state.owners[index], operations=owner.operations[count:])
    return with_owner(state, index, rest)


def fail_owner(
    state: ModelState, index: int, conclude: Conclude
) -> Iterator[ModelState]:
    """Yield states after a lost answer, a late write or a crash of an owner."""
    owner = state.owners[index]
    failed = attrs.evolve(state, faults=state.faults + 1)
    if owner.writing is not None:
        assert owner.base is not None
        late = LateWrite(owner.base.version, owner.writing.segment)
        pending = attrs.evolve(failed, late=(*failed.late, late))
        yield follow_outcome(failed, index, LOST, conclude)
        yield follow_outcome(pending, index, LOST, conclude)
        yield with_owner(pending, index, ModelOwner())
    if owner != ModelOwner():
        yield with_owner(failed, index, ModelOwner())


def land_late(state: ModelState) -> Iterator[ModelState]:
    """Yield states in which a late write reached the store."""
    for place, write in enumerate(state.late):
        rest = state.late[:place] + state.late[place + 1 :]
        after = attrs.evolve(state, late=rest)
        if write.expected_version == state.version:
            version = state.version + 1
            after = attrs.evolve(after, version=version, segment=write.segment)
        yield after


def violation(state: ModelState) -> str:
    """
    Return what is wrong with a state, or an empty string.

    Parameters
    ----------
    state : ModelState
        The state.
    """
    if sum(call.state in LET_OUT for call in state.calls) > 1:
        return "two requests were let out"
    if any(call.state == "not-run" and call.executed for call in state.calls):
        return "a request that is said not to have run has run"
    return ""


@attrs.define
class Exploration:
    """
    What an exploration found.

    Attributes
    ----------
    states, transitions, depth : int
        What was explored.
    complete : bool
        Whether every state within the bounds was explored.
    violations : list of str
        What is wrong, at most one an exploration.
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
    Explore breadth first, until a violation or a number of states.

    Parameters
    ----------
    bounds : ModelBounds
        How often each thing may happen.
    limit : int
        Most states to explore.
    conclude : callable
        The product's function, or a broken one.
    """
    found = Exploration()
    first = first_state()
    seen = {hash(first.key())}
    queue = deque([(first, 0)])
    while queue and found.states < limit:
        state, found.depth = queue.popleft()
        found.states += 1
        try:
            for after in successors(state, bounds, conclude):
                found.transitions += 1
                key = hash(after.key())
                if key not in seen:
                    seen.add(key)
                    queue.append((after, found.depth + 1))
                wrong = violation(after)
                if wrong:
                    found.violations.append(wrong)
                    return found
        except InvariantError as error:
            found.violations.append(str(error))
            return found
    found.complete = not queue
    return found


def run_journal_model(options: ScenarioOptions) -> Report:
    """
    Explore the model and report violations.

    Parameters
    ----------
    options : ScenarioOptions
        Its size is the number of states.
    """
    left = options.size or DEFAULT_SIZE
    done: list[Exploration] = []
    for bounds in BOUNDS:
        if left > 0:
            done.append(explore(bounds, left))
            left -= done[-1].states
    violations = sum(len(found.violations) for found in done)
    figures = {
        "violations": at_most(violations, 0, "states"),
        "states": observed(sum(found.states for found in done), "states"),
        "transitions": observed(sum(it.transitions for it in done), "transitions"),
        "depth": observed(max(found.depth for found in done), "steps"),
        "complete-bounds": observed(sum(it.complete for it in done), "bounds"),
    }
    return Report("journal-model", options.seed, figures)
