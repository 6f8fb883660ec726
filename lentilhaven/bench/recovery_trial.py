"""One trial of the scenario ``recovery``."""

import random

import attrs

from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import EndpointId, RequestId
from lentilhaven.endpoints import EngineClient, Stage, StreamOrder
from lentilhaven.endpoints.piece import Piece
from lentilhaven.router.completion_request import split_tokens
from lentilhaven.standins.toy_model import reference_answer
from lentilhaven.testbed import Testbed
from lentilhaven.testbed.caller import CompletionResult, request_completion

#: Maximum number of tokens of a prompt.
MAX_PROMPT_TOKENS = 400

#: Number of tokens of every answer.
ANSWER_TOKENS = 24

#: Minimum and maximum number of tokens received when a stage fails.
DEATH_POSITIONS = (4, 16)


@attrs.frozen
class RecoveryTrial:
    """
    Failures during one answer.

    Attributes
    ----------
    prompt : str
        Prompt whose answer has `ANSWER_TOKENS` tokens.
    position : int
        Number of tokens that the caller has received when stages fail.
    indices : tuple of int
        Indices in the chain of the stages that fail at once.
    silent : bool
        Whether connections stay open, as after a power loss.
    replacement_positions : tuple of int
        Numbers of received tokens at which the engine then in use at the first of
        `indices` fails too.
    """

    prompt: str
    position: int
    indices: tuple[int, ...]
    silent: bool
    replacement_positions: tuple[int, ...] = ()


def draw_trial(
    testbed: Testbed,
    rng: random.Random,
    silent: bool,
    count: int = 1,
    replacement_deaths: int = 0,
) -> RecoveryTrial:
    """
    Draw a random trial.

    Parameters
    ----------
    testbed : Testbed
        System under test.
    rng : random.Random
        Source of random numbers.
    silent : bool
        Whether connections stay open.
    count : int
        Number of stages that fail at once.
    replacement_deaths : int
        Number of times that the replacement fails too.
    """
    plan = testbed.plan
    while True:
        words = [f"w{rng.randrange(10**6)}" for _ in range(MAX_PROMPT_TOKENS)]
        prompt = " ".join(words[: rng.randint(20, MAX_PROMPT_TOKENS)])
        tokens = split_tokens(prompt)
        answer = reference_answer(plan.version, plan.layer_count, tokens, ANSWER_TOKENS)
        if len(answer) == ANSWER_TOKENS:
            break
    indices = tuple(sorted(rng.sample(range(plan.range_count), count)))
    position = rng.randint(*DEATH_POSITIONS)
    later = tuple(position + 2 * (step + 1) for step in range(replacement_deaths))
    return RecoveryTrial(prompt, position, indices, silent, later)


@attrs.define
class RecoveryTimer:
    """
    Makes stages fail at their positions and measures the time to the next token.

    Attributes
    ----------
    testbed : Testbed
        System under test.
    trial : RecoveryTrial
        Failures to inject.
    died_at : float or None
        Monotonic time of the newest failure that no new token has followed yet, in
        seconds; None if there is none.
    waits : list of float
        Seconds from each failure to the next new token.
    dead : list of str
        Ids of the engines that have failed.
    """

    testbed: Testbed
    trial: RecoveryTrial
    died_at: float | None = None
    waits: list[float] = attrs.field(factory=list)
    dead: list[EndpointId] = attrs.field(factory=list)

    async def on_token(self, answer: CompletionResult) -> None:
        """Record the recovery time, and make stages fail at their positions."""
        position = len(answer.tokens)
        # A caller that asks again first receives the tokens up to the failure again.
        if self.died_at is not None and position > self.trial.position:
            self.waits.append(self.testbed.clock.monotonic() - self.died_at)
            self.died_at = None
        chain = chain_in_use(self.testbed)
        if position == self.trial.position and not self.dead:
            self.kill_engines([chain[index] for index in self.trial.indices])
        elif position in self.trial.replacement_positions:
            self.kill_engines([chain[self.trial.indices[0]]])

    def kill_engines(self, names: list[EndpointId]) -> None:
        """Make engines fail now and record the time."""
        self.died_at = self.testbed.clock.monotonic()
        for name in names:
            fail_engine(self.testbed, name, self.trial.silent)
            self.dead.append(name)

    def revive(self) -> None:
        """Restart all failed engines, with empty caches."""
        for name in self.dead:
            restart_engine(self.testbed, name)


def fail_engine(testbed: Testbed, name: EndpointId, silent: bool) -> None:
    """Crash one engine, or pause it with its connections open."""
    engine = testbed.engines[name]
    if silent:
        engine.faults.running.clear()
    else:
        engine.kill()


def restart_engine(testbed: Testbed, name: EndpointId) -> None:
    """Restart an engine, with an empty cache."""
    engine = testbed.engines[name]
    engine.kill()
    engine.faults.running.set()
    engine.revive()


def chain_in_use(testbed: Testbed) -> list[EndpointId]:
    """Return the endpoints of the only answer in progress, first stage first."""
    load = testbed.vms[0].router.own_load
    used = [spec for spec in testbed.engine_endpoints if load[spec.id] > 0]
    used.sort(key=lambda spec: spec.layers.start if spec.layers else 0)
    return [spec.id for spec in used]


async def run_with_router(
    testbed: Testbed, trial: RecoveryTrial
) -> RecoveryTimer | None:
    """
    Let the router recover; return None unless the answer was complete and correct.

    Parameters
    ----------
    testbed : Testbed
        System under test.
    trial : RecoveryTrial
        Failures to inject.
    """
    timer = RecoveryTimer(testbed, trial)
    url, body = testbed.vms[0].url, completion_body(testbed, trial)
    answer = await request_completion(
        testbed.session, url, testbed.headers, body, on_token=timer.on_token
    )
    timer.revive()
    return timer if answer.text == expected_text(testbed, trial) else None


async def run_naive(testbed: Testbed, trial: RecoveryTrial) -> RecoveryTimer:
    """
    Ask again from the start when an answer fails, up to 10 times in all.

    The route must be configured without retries.

    Parameters
    ----------
    testbed : Testbed
        System under test.
    trial : RecoveryTrial
        Failures to inject.
    """
    timer = RecoveryTimer(testbed, trial)
    url, body = testbed.vms[0].url, completion_body(testbed, trial)
    for _ in range(10):
        answer = await request_completion(
            testbed.session, url, testbed.headers, body, on_token=timer.on_token
        )
        if answer.done:
            break
    timer.revive()
    return timer


async def run_limit(testbed: Testbed, trial: RecoveryTrial, name: str) -> float:
    """
    Rebuild only the lost ranges, at the moment of the failure.

    Parameters
    ----------
    testbed : Testbed
        System under test, of which the router is not used.
    trial : RecoveryTrial
        Failures to inject.
    name : str
        Unique id of the request.

    Returns
    -------
    float
        Seconds from the failure to the next token.
    """
    chain = [replica_stage(testbed, index, 0) for index in range(3)]
    engines, clock = EngineClient(testbed.session), testbed.clock
    tokens: list[str] = []
    async with engines.start_stream(make_order(testbed, trial, name, chain)) as stream:
        while len(tokens) < trial.position:
            tokens += [it.token for it in await next_pieces(stream)]
    died_at = clock.monotonic()
    for index in trial.indices:
        fail_engine(testbed, chain[index].endpoint, trial.silent)
    replaced_chain = [
        replica_stage(testbed, index, int(index in trial.indices)) for index in range(3)
    ]
    order = make_order(
        testbed, trial, name, replaced_chain, 2, tokens[: trial.position]
    )
    async with engines.start_stream(order) as stream:
        await next_pieces(stream)
        waited = clock.monotonic() - died_at
    for index in trial.indices:
        restart_engine(testbed, chain[index].endpoint)
    await cancel_all(engines, replaced_chain, order.request, clock)
    return waited


async def next_pieces(stream) -> list[Piece]:
    """Return the next pieces of a stream; none if it sends nothing for 60 seconds."""
    return await stream.next_chunk(60.0) or []


async def cancel_all(
    engines: EngineClient, chain: list[Stage], request: RequestId, clock: Clock
) -> None:
    """Cancel the second attempt of a request at every stage of a chain."""
    for stage in chain:
        await engines.cancel(stage, request, attempt=2)


def replica_stage(testbed: Testbed, index: int, replica: int) -> Stage:
    """Return a replica of a layer range as a stage; both numbers begin at 0."""
    name = f"engine-{replica + 1}{chr(ord('a') + index)}"
    spec = next(it for it in testbed.engine_endpoints if it.id == name)
    assert spec.layers is not None
    return Stage(spec.id, spec.url, spec.layers)


def make_order(
    testbed: Testbed,
    trial: RecoveryTrial,
    name: str,
    chain: list[Stage],
    attempt: int = 1,
    generated: list[str] | None = None,
) -> StreamOrder:
    """
    Return the order that starts a stream on a chain.

    `generated` holds the tokens that earlier attempts have generated.
    """
    plan = testbed.plan
    return StreamOrder(
        request=RequestId(name),
        attempt=attempt,
        model=plan.model,
        version=plan.version,
        chain=chain,
        prompt=split_tokens(trial.prompt),
        generated=generated or [],
        max_tokens=ANSWER_TOKENS,
        remaining=60.0,
    )


def completion_body(testbed: Testbed, trial: RecoveryTrial) -> dict:
    """Return the body of the caller's request."""
    model = testbed.plan.model
    body = {"model": model, "prompt": trial.prompt, "max_tokens": ANSWER_TOKENS}
    return body | {"stream": True}


def expected_text(testbed: Testbed, trial: RecoveryTrial) -> str:
    """Return the answer of the reference model."""
    plan = testbed.plan
    tokens = split_tokens(trial.prompt)
    return "".join(
        reference_answer(plan.version, plan.layer_count, tokens, ANSWER_TOKENS)
    )
