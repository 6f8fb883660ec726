"""One trial of the scenario ``recovery``."""

import random

import attrs

from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import EndpointId, RequestId
from lentilhaven.endpoints import EngineClient, Stage, StreamOrder
from lentilhaven.endpoints.piece import Piece
from lentilhaven.router.completion_request import split_tokens
from lentilhaven.standins.toy_model import naive_answer
from lentilhaven.testbed import Testbed
from lentilhaven.testbed.caller import CallerAnswer, ask

#: Tokens of the longest prompt.
LONGEST_PROMPT = 400

#: Tokens of every answer.
LENGTH = 24

#: Positions between which a stage dies.
DEATHS = (4, 16)


@attrs.frozen
class RecoveryTrial:
    """
    What dies when in one answer.

    Attributes
    ----------
    prompt : str
        The prompt; its answer has `LENGTH` tokens.
    position : int
        Tokens that the caller has when stages die.
    indices : tuple of int
        Places in the chain of the stages that die at once.
    silent : bool
        Whether connections stay open, as after a loss of power.
    again : tuple of int
        Positions at which the stage now at the first index dies as well.
    """

    prompt: str
    position: int
    indices: tuple[int, ...]
    silent: bool
    again: tuple[int, ...] = ()


def draw_trial(
    testbed: Testbed,
    random: random.Random,
    silent: bool,
    count: int = 1,
    again: int = 0,
) -> RecoveryTrial:
    """
    Draw a trial.

    Parameters
    ----------
    testbed : Testbed
        The system.
    random : random.Random
        Source of chance.
    silent : bool
        Whether connections stay open.
    count : int
        Number of stages that die at once.
    again : int
        Number of times that the replacement dies as well.
    """
    plan = testbed.plan
    while True:
        words = [f"w{random.randrange(10**6)}" for _ in range(LONGEST_PROMPT)]
        prompt = " ".join(words[: random.randint(20, LONGEST_PROMPT)])
        tokens = split_tokens(prompt)
        answer = naive_answer(plan.version, plan.layer_count, tokens, LENGTH)
        if len(answer) == LENGTH:
            break
    indices = tuple(sorted(random.sample(range(plan.range_count), count)))
    position = random.randint(*DEATHS)
    later = tuple(position + 2 * (step + 1) for step in range(again))
    return RecoveryTrial(prompt, position, indices, silent, later)


@attrs.define
class DeathWatch:
    """
    Lets stages die on time and measures until the next token.

    Attributes
    ----------
    testbed : Testbed
        The system.
    trial : RecoveryTrial
        What dies when.
    died : float or None
        Time of the newest death that no token has followed, in seconds.
    waits : list of float
        Seconds from each death to the next new token.
    dead : list of str
        Engines that have died.
    """

    testbed: Testbed
    trial: RecoveryTrial
    died: float | None = None
    waits: list[float] = attrs.field(factory=list)
    dead: list[EndpointId] = attrs.field(factory=list)

    async def on_token(self, answer: CallerAnswer) -> None:
        """Measure, and let stages die when their position has come."""
        position = len(answer.tokens)
        if self.died is not None and position > self.trial.position:
            self.waits.append(self.testbed.clock.monotonic() - self.died)
            self.died = None
        chain = chain_in_use(self.testbed)
        if position == self.trial.position and not self.dead:
            self.strike([chain[index] for index in self.trial.indices])
        elif position in self.trial.again:
            self.strike([chain[self.trial.indices[0]]])

    def strike(self, names: list[EndpointId]) -> None:
        """Let engines die now."""
        self.died = self.testbed.clock.monotonic()
        for name in names:
            strike_engine(self.testbed, name, self.trial.silent)
            self.dead.append(name)

    def revive(self) -> None:
        """Start everything that has died again, with empty caches."""
        for name in self.dead:
            revive_engine(self.testbed, name)


def strike_engine(testbed: Testbed, name: EndpointId, silent: bool) -> None:
    """Let one engine crash, or fall silent with its connections open."""
    engine = testbed.engines[name]
    if silent:
        engine.faults.running.clear()
    else:
        engine.kill()


def revive_engine(testbed: Testbed, name: EndpointId) -> None:
    """Start an engine again, with an empty cache."""
    engine = testbed.engines[name]
    engine.kill()
    engine.faults.running.set()
    engine.revive()


def chain_in_use(testbed: Testbed) -> list[EndpointId]:
    """Return the endpoints of the only answer in work, head first."""
    load = testbed.vms[0].router.own_load
    used = [spec for spec in testbed.endpoints if load[spec.id] > 0]
    used.sort(key=lambda spec: spec.layers.start if spec.layers else 0)
    return [spec.id for spec in used]


async def run_product(testbed: Testbed, trial: RecoveryTrial) -> DeathWatch | None:
    """
    Let the router recover; None if the answer was not complete and right.

    Parameters
    ----------
    testbed : Testbed
        The system.
    trial : RecoveryTrial
        What dies when.
    """
    watch = DeathWatch(testbed, trial)
    url, body = testbed.vms[0].url, completion_body(testbed, trial)
    answer = await ask(
        testbed.session, url, testbed.headers, body, on_token=watch.on_token
    )
    watch.revive()
    return watch if answer.text == expected_text(testbed, trial) else None


async def run_naive(testbed: Testbed, trial: RecoveryTrial) -> DeathWatch:
    """
    Ask again from the start when an answer fails, until it is whole.

    The route must not recover by itself.

    Parameters
    ----------
    testbed : Testbed
        The system.
    trial : RecoveryTrial
        What dies when.
    """
    watch = DeathWatch(testbed, trial)
    url, body = testbed.vms[0].url, completion_body(testbed, trial)
    for _ in range(10):
        answer = await ask(
            testbed.session, url, testbed.headers, body, on_token=watch.on_token
        )
        if answer.done:
            break
    watch.revive()
    return watch


async def run_limit(testbed: Testbed, trial: RecoveryTrial, name: str) -> float:
    """
    Rebuild only the lost ranges, at the very moment of the death.

    Parameters
    ----------
    testbed : Testbed
        The system; its router takes no part.
    trial : RecoveryTrial
        What dies when.
    name : str
        Unique name of the request.

    Returns
    -------
    float
        Seconds from the death to the next token.
    """
    chain = [replica_stage(testbed, index, 0) for index in range(3)]
    engines, clock = EngineClient(testbed.session), testbed.clock
    tokens: list[str] = []
    async with engines.start_stream(make_order(testbed, trial, name, chain)) as feed:
        while len(tokens) < trial.position:
            tokens += [it.token for it in await next_pieces(feed)]
    died = clock.monotonic()
    for index in trial.indices:
        strike_engine(testbed, chain[index].endpoint, trial.silent)
    mended = [
        replica_stage(testbed, index, int(index in trial.indices)) for index in range(3)
    ]
    order = make_order(testbed, trial, name, mended, 2, tokens[: trial.position])
    async with engines.start_stream(order) as feed:
        await next_pieces(feed)
        waited = clock.monotonic() - died
    for index in trial.indices:
        revive_engine(testbed, chain[index].endpoint)
    await cancel_all(engines, mended, order.request, clock)
    return waited


async def next_pieces(feed) -> list[Piece]:
    """Return the next pieces of a stream that has no faults."""
    return await feed.next_chunk(60.0) or []


async def cancel_all(
    engines: EngineClient, chain: list[Stage], request: RequestId, clock: Clock
) -> None:
    """Tell every stage to forget a request."""
    for stage in chain:
        await engines.cancel(stage, request, attempt=2)


def replica_stage(testbed: Testbed, index: int, replica: int) -> Stage:
    """Return one replica of a range."""
    name = f"engine-{replica + 1}{chr(ord('a') + index)}"
    spec = next(it for it in testbed.endpoints if it.id == name)
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
    """Return an order for a chain."""
    plan = testbed.plan
    return StreamOrder(
        request=RequestId(name),
        attempt=attempt,
        model=plan.model,
        version=plan.version,
        chain=chain,
        prompt=split_tokens(trial.prompt),
        generated=generated or [],
        max_tokens=LENGTH,
        remaining=60.0,
    )


def completion_body(testbed: Testbed, trial: RecoveryTrial) -> dict:
    """Return the body of the caller's request."""
    model = testbed.plan.model
    body = {"model": model, "prompt": trial.prompt, "max_tokens": LENGTH}
    return body | {"stream": True}


def expected_text(testbed: Testbed, trial: RecoveryTrial) -> str:
    """Return the naive model's answer."""
    plan = testbed.plan
    tokens = split_tokens(trial.prompt)
    return "".join(naive_answer(plan.version, plan.layer_count, tokens, LENGTH))
