"""Which chain of engines gets a generation."""

from collections.abc import Collection, Sequence

from lentilhaven.chains.chain import Chain
from lentilhaven.chains.chain_costs import ChainCosts
from lentilhaven.chains.chain_search import Candidate, find_chain
from lentilhaven.core.logs import get_logger
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.pipe_meter import pipe_name
from lentilhaven.peering.load_sums import LoadSums

#: How much longer a request takes on an engine whose memory is full.
FULLNESS_WEIGHT = 4.0

#: Share of an engine's memory beyond which it gets no more requests: the
#: estimate of its use is rough, and a full engine preempts.
MOST_FULL = 0.95

#: Share of an engine's slots beyond which it begins no more chains; others may send
#: it requests before they are told of this one.
MOST_BUSY = 0.95

#: Spread of the noise by which gateways with the same knowledge differ.
NOISE = 0.1

log = get_logger("gateway")


def costs_of(gateway: Gateway, spec: EngineSpec, call: Call, now: float) -> ChainCosts:
    """Return the estimated times of a request."""
    own = gateway.pipes.current(now)
    others = gateway.peers.others(now)

    def pipe_tokens(one: str, other: str) -> float:
        name = pipe_name(one, other)
        return own.get(name, 0.0) + others.pipes.get(name, 0.0)

    answer = call.head.length_hint or spec.usual_answer or 1.0
    if call.head.most_output_tokens:
        answer = min(answer, call.head.most_output_tokens)
    prompt = call.head.prompt_tokens or spec.usual_prompt
    return ChainCosts(spec, prompt, answer, pipe_tokens)


def choose_chain(
    gateway: Gateway,
    call: Call,
    spec: EngineSpec,
    excluded: Collection[str],
    now: float,
) -> Chain | None:
    """
    Return the chain on which a request should end first.

    Parameters
    ----------
    gateway : Gateway
        Knows the endpoints and what was seen of them.
    call : Call
        The request.
    spec : EngineSpec
        The engines of its service.
    excluded : collection of str
        Ids of endpoints that must not take part.
    now : float
        Time of the event loop.

    Returns
    -------
    Chain or None
        None if the endpoints that can be used do not hold all layers.
    """
    costs = costs_of(gateway, spec, call, now)
    candidates = find_candidates(gateway, call, spec, excluded, costs, now)
    candidates = drop_dominated(candidates)
    chain = find_chain(LayerSpan(0, spec.layers), candidates, costs.hop_ms)
    if chain is not None:
        chain.check(spec.layers)
    return chain


def find_candidates(
    gateway: Gateway,
    call: Call,
    spec: EngineSpec,
    excluded: Collection[str],
    costs: ChainCosts,
    now: float,
) -> list[Candidate]:
    """Return the endpoints that a request may use, with the cost of their layers."""
    others = gateway.peers.others(now)
    return [
        candidate
        for endpoint in gateway.view.of_service(call.service)
        if endpoint.id not in excluded
        and (candidate := weigh(gateway, spec, costs, endpoint, others, now))
        is not None
    ]


def drop_dominated(candidates: Sequence[Candidate]) -> list[Candidate]:
    """
    Leave out candidates of which another one is better in every way.

    It stands in the same data centre, holds the same layers and more, and is not
    slower.  The search takes time with the square of their number: 3.7 ms for the 93
    engines of a large deployment.

    Examples
    --------
    >>> def held(name, start, end, cost):
    ...     span = LayerSpan(start, end)
    ...     return Candidate(Endpoint(name, "s", name, "z", layers=span), cost)
    >>> kept = drop_dominated([held("a", 0, 4, 1.0), held("b", 1, 3, 2.0)])
    >>> [it.endpoint.id for it in kept]
    ['a']
    """
    kept: dict[str, list[Candidate]] = {}
    for it in sorted(candidates, key=breadth):
        better = kept.setdefault(it.endpoint.data_centre, [])
        if not any(dominates(other, it) for other in better):
            better.append(it)
    return [it for better in kept.values() for it in better]


def breadth(candidate: Candidate) -> tuple[int, float]:
    """Return a key that sorts the widest first, and of these the fastest."""
    span = candidate.endpoint.layers
    return -len(span) if span is not None else 0, candidate.layer_cost


def dominates(one: Candidate, other: Candidate) -> bool:
    """Return whether one candidate is better than another in every way."""
    wide, narrow = one.endpoint.layers, other.endpoint.layers
    return (
        one.layer_cost <= other.layer_cost
        and wide is not None
        and narrow is not None
        and wide.contains(narrow)
        and (one.may_begin or not other.may_begin)
    )


def has_room_later(
    gateway: Gateway,
    call: Call,
    spec: EngineSpec,
    excluded: Collection[str],
    now: float,
) -> bool:
    """Return whether engines that are thought to live hold all layers."""
    live = [
        Candidate(endpoint, 1.0)
        for endpoint in gateway.view.of_service(call.service)
        if endpoint.id not in excluded
        and endpoint.layers
        and now >= gateway.board.of(endpoint).suspected_until
    ]
    wanted = LayerSpan(0, spec.layers)
    return find_chain(wanted, live, lambda one, other: 0.0) is not None


def replace_parts(
    gateway: Gateway,
    call: Call,
    spec: EngineSpec,
    chain: Chain,
    dead: Collection[str],
    now: float,
) -> Chain | None:
    """
    Return a chain in which other endpoints run the layers of dead ones.

    Parameters
    ----------
    gateway, call, spec, now
        As in `choose_chain`.
    chain : Chain
        The present chain; its first part stays.
    dead : collection of str
        Ids of the endpoints to replace.

    Returns
    -------
    Chain or None
        None if there is nobody to replace them.
    """
    costs = costs_of(gateway, spec, call, now)
    present = {endpoint.id for endpoint in chain.endpoints}
    free = find_candidates(gateway, call, spec, present, costs, now)
    parts: list[tuple[Endpoint, LayerSpan]] = []
    for endpoint, span in chain.parts:
        if endpoint.id not in dead:
            parts.append((endpoint, span))
            continue
        found = find_chain(span, free, costs.hop_ms)
        if found is None:
            return None
        parts += found.parts
        used = set(found.endpoints)
        free = [it for it in free if it.endpoint not in used]
    replaced = Chain(tuple(parts), chain.cost)
    replaced.check(spec.layers)
    return replaced


def explain_absence(
    gateway: Gateway,
    call: Call,
    spec: EngineSpec,
    excluded: Collection[str],
    now: float,
) -> None:
    """Log which layers no usable endpoint holds, and why the others are not used."""
    costs = costs_of(gateway, spec, call, now)
    candidates = find_candidates(gateway, call, spec, excluded, costs, now)
    held = {
        layer
        for it in candidates
        if (span := it.endpoint.layers) is not None
        for layer in range(span.start, span.end)
    }
    usable = {it.endpoint.id for it in candidates}
    endpoints = gateway.view.of_service(call.service)
    unusable = [it for it in endpoints if it.id not in usable and it.layers]
    suspected = [it.id for it in unusable if not gateway.board.of(it).available(now)]
    log.info(
        "no chain",
        request=call.id,
        missing=[layer for layer in range(spec.layers) if layer not in held],
        usable=len(usable),
        unusable=len(unusable),
        suspected=suspected,
        prompt=call.head.prompt_tokens,
        hint=call.head.length_hint,
        view=gateway.view.endpoints_revision,
    )


def weigh(
    gateway: Gateway,
    spec: EngineSpec,
    costs: ChainCosts,
    endpoint: Endpoint,
    others: LoadSums,
    now: float,
) -> Candidate | None:
    """Return an endpoint with the cost of its layers; None if it can't be used."""
    if endpoint.layers is None:
        return None
    state = gateway.board.of(endpoint)
    if not state.available(now):
        return None
    requests, tokens = others.of(endpoint.id)
    held = len(endpoint.layers)
    room = spec.tokens_beside(endpoint.card, held) * held
    needed = state.state_tokens + tokens
    needed += costs.state_tokens() * held
    fullness = needed / room if room else 1.0
    if fullness > MOST_FULL:
        return None
    batch = state.requests + requests
    cost = costs.layer_ms(endpoint.card, state.slowdown, batch)
    cost *= 1.0 + FULLNESS_WEIGHT * fullness * fullness
    cost *= gateway.random.uniform(1 - NOISE, 1 + NOISE)
    # The slots limit what an engine takes as the first part of a chain.
    return Candidate(endpoint, cost, may_begin=batch < MOST_BUSY * endpoint.slots)
