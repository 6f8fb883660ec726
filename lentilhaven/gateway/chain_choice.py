"""Choice of the chain of engines that runs a generation request."""

from collections.abc import Collection
from functools import partial

import attrs

from lentilhaven.admission.chain_capacity import read_ms
from lentilhaven.chains.candidate_sets import hold_starts
from lentilhaven.chains.chain import Chain
from lentilhaven.chains.chain_costs import ChainCosts
from lentilhaven.chains.chain_search import Candidate, find_chain, held_layers
from lentilhaven.chains.pipe_meter import pipe_name
from lentilhaven.core.logs import get_logger
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.fleet.route_rule import RouteRule
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.locality import StreamNeeds, find_frugal_chain, find_near_chain
from lentilhaven.peering.load_sums import LoadSums

#: Relative increase of a request's estimated time on an engine whose KV memory is
#: full.  The increase grows with the square of the memory use.
MEMORY_USE_WEIGHT = 4.0

#: Share of an engine's KV memory beyond which it gets no more requests.  The estimate
#: of the memory use is rough, and an engine whose memory is full preempts requests.
MAX_MEMORY_USE = 0.95

#: Share of an engine's slots beyond which it gets no more requests as the first part
#: of a chain.  Other gateways may send requests to the engine before they learn of
#: those that this gateway has sent.
MAX_SLOT_USE = 0.95

#: Longest mean pause of a stream on a chain that is still used, as a share of the pause
#: after which its caller leaves.  Pauses vary: of those behind a busy pipe, which are
#: about exponentially distributed, one in 55 is longer than four times their mean.
MAX_PAUSE_SHARE = 0.25

#: Longest pause of a stream without a target that is in time, as a share of the same.
#: A chain counts as late by it before its streams are refused by `MAX_PAUSE_SHARE`.
PAUSE_SHARE = 0.5

#: Relative half-width of the random factor on an engine's cost.  It keeps gateways
#: with the same information from choosing the same chain.
COST_JITTER = 0.1

#: The same for a stream that continues elsewhere: those of many gateways begin within
#: some 30 ms after a loss, before any datagram tells of the others.
RECOVERY_JITTER = 0.4

#: Time added to the first event for each engine that was not heard since the stream
#: broke, in ms.  If 4 of 99 engines are lost, a stream sent to one of them is late for
#: another 0.25 s, which is 10 ms for each engine that may be one.
UNHEARD_COST_MS = 20.0

#: Decoding steps that count towards the choice of the chain whose first event comes
#: soonest.
FIRST_EVENT_STEPS = 2

log = get_logger("gateway")


def build_costs(
    gateway: Gateway, spec: EngineSpec, call: Call, now: float
) -> ChainCosts:
    """Return the cost estimates for a request under the current load of the pipes."""
    own = gateway.link_traffic.current(now)
    others = gateway.peers.load_of_others(now)

    def pipe_token_rate(origin: str, target: str) -> float:
        name = pipe_name(origin, target)
        return own.get(name, 0.0) + others.pipes.get(name, 0.0)

    output_tokens = call.head.length_hint or spec.mean_output_tokens or 1.0
    if call.head.max_output_tokens:
        output_tokens = min(output_tokens, call.head.max_output_tokens)
    prompt_tokens = call.head.prompt_tokens or spec.mean_prompt_tokens
    return ChainCosts(spec, prompt_tokens, output_tokens, pipe_token_rate)


def choose_chain(
    gateway: Gateway,
    call: Call,
    spec: EngineSpec,
    excluded: Collection[str],
    now: float,
    continues: bool = False,
    held: Collection[str] = (),
    broken_at: float | None = None,
) -> Chain | None:
    """
    Return the chain on which a request runs, by its costs and crossings.

    A chain on which the caller would leave before the end is not used: its work would
    be in vain, and would slow down the streams beside it.  For a stream that has
    already begun, it is better than none.

    Parameters
    ----------
    gateway : Gateway
        Provides the endpoints and their observed states.
    call : Call
        The request.
    spec : EngineSpec
        Specification of the engines of its service.
    excluded : collection of str
        Ids of endpoints that must not be used.
    now : float
        Time of the event loop.
    continues : bool
        Whether the request continues a stream of which the caller has events.
    held : collection of str
        Ids of endpoints that must not begin the chain.
    broken_at : float or None
        For a stream that continues, the time since which it is broken.  The chain is
        chosen on which the first event is expected soonest: a pause is over then.

    Returns
    -------
    Chain or None
        None if no chain of usable endpoints covers all layers in time.

    Raises
    ------
    InvariantError
        If the chain found does not run each layer exactly once.
    """
    costs = build_costs(gateway, spec, call, now)
    if broken_at is not None:
        return find_soonest_chain(gateway, call, costs, excluded, held, now, broken_at)

    def find(is_local: bool) -> list[Candidate]:
        found = find_candidates(gateway, call, spec, excluded, costs, now, is_local)
        return hold_starts(found, held)

    route = call.route
    longest_pause = route.gap_target or PAUSE_SHARE * route.stream_patience
    needs = StreamNeeds(route.target_latency, longest_pause)
    growth = gateway.forecast.growth(call.service, now)
    own = gateway.settings.data_centre
    chain = find_frugal_chain(
        needs, own, find(True), lambda: find(False), costs, gateway.random, growth
    )
    if chain is None:
        return None
    chain.check(spec.layers)
    if not continues and is_too_slow(costs, chain.cost, call.route):
        log.info(
            "chain too slow",
            request=call.id,
            pause=round(costs.mean_pause(chain.cost), 3),
            patience=call.route.stream_patience,
            length=len(chain.parts),
        )
        return None
    return chain


def find_soonest_chain(
    gateway: Gateway,
    call: Call,
    costs: ChainCosts,
    excluded: Collection[str],
    held: Collection[str],
    now: float,
    broken_at: float,
) -> Chain | None:
    """
    Return the chain on which the first event is expected soonest, or None.

    Parameters are those of `choose_chain`.  The random factors spread the choices of
    gateways that lose streams at the same time and know the same.  Engines from which
    any gateway has heard since the stream broke are preferred: several may be lost at
    the same time.
    """
    spec = costs.spec
    first = attrs.evolve(costs, output_tokens=float(FIRST_EVENT_STEPS))
    usual = find_candidates(gateway, call, spec, excluded, costs, now)
    candidates = []
    for it in hold_starts(usual, held):
        cost = first_event_cost(gateway, first, it.endpoint, now)
        if gateway.endpoint_states.of(it.endpoint).heard_at < broken_at:
            cost += UNHEARD_COST_MS / len(held_layers(it))
        candidates.append(attrs.evolve(it, layer_cost=cost))
    chain = find_near_chain(gateway.settings.data_centre, first, candidates)
    if chain is None:
        return None
    chain.check(spec.layers)
    layer_costs = {it.endpoint.id: it.layer_cost for it in usual}
    total = sum(layer_costs[it.id] * len(span) for it, span in chain.parts)
    total += sum(
        costs.hop_ms(one.data_centre, other.data_centre)
        for one, other in zip(chain.endpoints, chain.endpoints[1:], strict=False)
    )
    return attrs.evolve(chain, cost=total)


def first_event_cost(
    gateway: Gateway, costs: ChainCosts, endpoint: Endpoint, now: float
) -> float:
    """Return the cost of each layer at an endpoint, with what it reads before."""
    state = gateway.endpoint_states.of(endpoint)
    requests, _ = gateway.peers.load_of_others(now).load_of(endpoint.id)
    slowdown = state.current_slowdown(now)
    cost = costs.layer_ms(endpoint.card, slowdown, state.requests + requests)
    cost *= gateway.random.uniform(1 - RECOVERY_JITTER, 1 + RECOVERY_JITTER)
    layers = len(endpoint.layers) if endpoint.layers else 1
    unread = unread_at(gateway, endpoint.id, now)
    return cost + unread * read_ms(costs.spec, endpoint.card, slowdown) / layers


def unread_at(gateway: Gateway, endpoint: str, now: float) -> float:
    """Return the layer-tokens of prompts that an endpoint has got but not read."""
    return gateway.queues.unread.of(endpoint) + unread_of_others(gateway, endpoint, now)


def unread_of_others(gateway: Gateway, endpoint: str, now: float) -> float:
    """Return the layer-tokens that other gateways report as unread."""
    return gateway.peers.load_of_others(now).queues.unread.get(endpoint, 0.0)


def possible_starts(
    gateway: Gateway, service: str, excluded: Collection[str], now: float
) -> list[Endpoint]:
    """Return the available endpoints on which a chain can begin."""
    states = gateway.endpoint_states
    return [
        endpoint
        for endpoint in gateway.view.of_service(service)
        if endpoint.layers
        and endpoint.layers.start == 0
        and endpoint.id not in excluded
        and states.of(endpoint).available(now)
    ]


def is_too_slow(costs: ChainCosts, cost: float, route: RouteRule) -> bool:
    """Return whether callers of a route would leave a stream on a chain of a cost."""
    return costs.mean_pause(cost) > MAX_PAUSE_SHARE * route.stream_patience


def find_candidates(
    gateway: Gateway,
    call: Call,
    spec: EngineSpec,
    excluded: Collection[str],
    costs: ChainCosts,
    now: float,
    is_local: bool | None = None,
) -> list[Candidate]:
    """
    Return the endpoints that a request can use, with their costs for each layer.

    They are those of all data centres, or of the own one or of the others only.
    """
    own = gateway.settings.data_centre
    others = gateway.peers.load_of_others(now)
    return [
        candidate
        for endpoint in gateway.view.of_service(call.service)
        if endpoint.id not in excluded
        and is_local in (None, endpoint.data_centre == own)
        and (candidate := make_candidate(gateway, spec, costs, endpoint, others, now))
        is not None
    ]


def live_engines_cover_model(
    gateway: Gateway,
    call: Call,
    spec: EngineSpec,
    excluded: Collection[str],
    now: float,
    until: float,
    held: Collection[str] = (),
) -> bool:
    """
    Return whether the engines that are not suspected together hold all layers.

    Their load and recent refusals are ignored, as both may pass soon.  An engine that
    has asked for a pause beyond `until`, an event loop time, is left out, and one in
    `held` does not begin a chain.
    """
    states = gateway.endpoint_states
    live = [
        Candidate(endpoint, 1.0, may_begin=endpoint.id not in held)
        for endpoint in gateway.view.of_service(call.service)
        if endpoint.id not in excluded
        and endpoint.layers
        and now >= states.of(endpoint).suspected_until
        and until >= states.of(endpoint).paused_until
    ]
    layers = LayerSpan(0, spec.layers)
    return find_chain(layers, live, lambda origin, target: 0.0) is not None


def time_to_cover(
    gateway: Gateway,
    call: Call,
    spec: EngineSpec,
    excluded: Collection[str],
    now: float,
) -> float | None:
    """
    Return the seconds until engines that asked for pauses complete a chain again.

    Returns None if no engine has asked for one, or if they would not suffice.
    """
    pauses = {
        gateway.endpoint_states.of(endpoint).paused_until
        for endpoint in gateway.view.of_service(call.service)
        if endpoint.id not in excluded
    }
    for until in sorted(it for it in pauses if it > now):
        if live_engines_cover_model(gateway, call, spec, excluded, now, until):
            return until - now
    return None


def replace_parts(
    gateway: Gateway,
    call: Call,
    spec: EngineSpec,
    chain: Chain,
    dead: Collection[str],
    now: float,
) -> Chain | None:
    """
    Return a chain in which other endpoints run the layers of failed ones.

    Parameters
    ----------
    gateway, call, spec, now
        As in `choose_chain`.
    chain : Chain
        The current chain; its first part must not be among the failed ones.
    dead : collection of str
        Ids of the endpoints to replace.

    Returns
    -------
    Chain or None
        None if no usable endpoints can replace them.  A chain keeps the cost estimate
        of the current one.
    """
    costs = build_costs(gateway, spec, call, now)
    current = {endpoint.id for endpoint in chain.endpoints}
    available = find_candidates(gateway, call, spec, current, costs, now)
    parts: list[tuple[Endpoint, LayerSpan]] = []
    for endpoint, span in chain.parts:
        if endpoint.id not in dead:
            parts.append((endpoint, span))
            continue
        before = parts[-1][0].data_centre
        hop_here = partial(costs.hop_ms, before)
        found = find_chain(span, available, costs.hop_ms, hop_here)
        if found is None:
            return None
        parts += found.parts
        used = set(found.endpoints)
        available = [it for it in available if it.endpoint not in used]
    replaced = Chain(tuple(parts), chain.cost)
    replaced.check(spec.layers)
    return replaced


def log_missing_layers(
    gateway: Gateway,
    call: Call,
    spec: EngineSpec,
    excluded: Collection[str],
    now: float,
    held: Collection[str] = (),
) -> None:
    """
    Log the layers that no usable endpoint holds, and the unavailable endpoints.

    An endpoint is unavailable while it is suspected or has recently refused a request.
    One in `held` must not begin a chain.
    """
    costs = build_costs(gateway, spec, call, now)
    candidates = find_candidates(gateway, call, spec, excluded, costs, now)
    covered = {
        layer
        for it in candidates
        if (span := it.endpoint.layers) is not None
        for layer in range(span.start, span.end)
    }
    usable = {it.endpoint.id for it in candidates}
    endpoints = gateway.view.of_service(call.service)
    unusable = [it for it in endpoints if it.id not in usable and it.layers]
    suspected = [
        it.id for it in unusable if not gateway.endpoint_states.of(it).available(now)
    ]
    log.info(
        "no chain",
        request=call.id,
        missing=[layer for layer in range(spec.layers) if layer not in covered],
        usable=len(usable),
        unusable=len(unusable),
        suspected=suspected,
        held=sorted(held),
        prompt=call.head.prompt_tokens,
        hint=call.head.length_hint,
        view=str(gateway.view.endpoints_position),
    )


def make_candidate(
    gateway: Gateway,
    spec: EngineSpec,
    costs: ChainCosts,
    endpoint: Endpoint,
    others: LoadSums,
    now: float,
) -> Candidate | None:
    """Return an endpoint with its cost for each layer, or None if it is unusable."""
    if endpoint.layers is None:
        return None
    state = gateway.endpoint_states.of(endpoint)
    if not state.available(now):
        return None
    requests, tokens = others.load_of(endpoint.id)
    layer_count = len(endpoint.layers)
    # Memory is counted in tokens times layers.
    capacity = spec.max_cached_tokens(endpoint.card, layer_count) * layer_count
    needed = state.kv_token_layers + tokens
    needed += costs.state_tokens() * layer_count
    memory_use = needed / capacity if capacity else 1.0
    if memory_use > MAX_MEMORY_USE:
        return None
    batch = state.requests + requests
    slowdown = state.current_slowdown(now)
    cost = costs.layer_ms(endpoint.card, slowdown, batch)
    cost *= 1.0 + MEMORY_USE_WEIGHT * memory_use * memory_use
    cost *= gateway.random.uniform(1 - COST_JITTER, 1 + COST_JITTER)
    # The slots limit only the requests that an engine takes as the first part.
    may_begin = batch < MAX_SLOT_USE * endpoint.slots
    prompt_cost = costs.prompt_layer_ms(endpoint.card, slowdown)
    return Candidate(endpoint, cost, may_begin, prompt_cost, batch, memory_use)
