"""Choice of the chain with the fewest bytes between data centres that is in time."""

from collections.abc import Callable, Sequence
from random import Random

import attrs

from lentilhaven.chains.candidate_sets import drop_dominated
from lentilhaven.chains.chain import Chain
from lentilhaven.chains.chain_costs import ChainCosts
from lentilhaven.chains.chain_search import Candidate, find_chain
from lentilhaven.chains.pipe_meter import count_crossings
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.locality.stream_needs import StreamNeeds

#: Lateness up to which a stream takes the chain with the fewest crossings.  Above it,
#: the price of a crossing falls, to none for a chain that is late: gateways with the
#: same information then move a part of the work instead of all at once.
TIMELY = 0.5

#: Relative half-width of the random factor on the price of a crossing.  It spreads the
#: decisions of gateways that have the same information.
PRICE_JITTER = 0.25

#: Price of a crossing in the search for the chain with the fewest, in ms: more than
#: any chain costs.
PROHIBITIVE_PRICE = 1e7

#: Price of a first part in another data centre in that search, relative to that of a
#: hop.  Events have a few hundred bytes at most, activations thousands for each token.
START_PRICE_SHARE = 0.1


def find_frugal_chain(
    needs: StreamNeeds,
    own: str,
    local: Sequence[Candidate],
    find_remote: Callable[[], Sequence[Candidate]],
    costs: ChainCosts,
    rng: Random,
    growth: float = 1.0,
) -> Chain | None:
    """
    Return a chain with few crossings between data centres, for a stream.

    The chain with the fewest is taken while it is in time.  As it becomes late, another
    one is taken if it is faster by more than the price of its crossings.

    Parameters
    ----------
    needs : StreamNeeds
        What the caller needs.
    own : str
        Data centre of the gateway.
    local : sequence of Candidate
        Endpoints of that data centre to choose from.
    find_remote : callable
        Returns those of the others.  It is called only if they are needed, as most
        streams stay and each candidate takes time.
    costs : ChainCosts
        Estimates for the request.
    rng : random.Random
        Random number generator.
    growth : float
        Demand of the data centre that the stream is expected to meet, relative to that
        of the present load.

    Returns
    -------
    Chain or None
        None if there is no chain.  The price of crossings is not part of its cost.
    """
    layers = LayerSpan(0, costs.spec.layers)
    chain = find_chain(layers, drop_dominated(local), costs.hop_ms)
    if chain is not None:
        lateness = growth * needs.lateness(costs, chain, local)
        if lateness <= TIMELY:
            return chain
    remote = find_remote()
    if not remote:
        return chain
    candidates = drop_dominated([*local, *remote])
    if chain is None:
        price = PROHIBITIVE_PRICE
        start_price = START_PRICE_SHARE * price
        chain = find_priced_chain(own, candidates, costs, price, start_price)
        if chain is None:
            return None
        lateness = growth * needs.lateness(costs, chain, candidates)
        if lateness <= TIMELY:
            return chain
    price = crossing_price(lateness, chain.cost, rng)
    return find_priced_chain(own, candidates, costs, price, price)


def crossing_price(lateness: float, cost: float, rng: Random) -> float:
    """
    Return the price of a crossing, in ms.

    Parameters
    ----------
    lateness : float
        Lateness of the chain with the fewest crossings (see `StreamNeeds.lateness`).
    cost : float
        Cost of that chain, in ms.
    rng : random.Random
        Random number generator.

    Examples
    --------
    >>> prices = [crossing_price(it, 1000.0, Random(1)) for it in (0.5, 0.75, 1.0)]
    >>> [round(price) for price in prices]
    [817, 409, 0]
    """
    room = min(1.0, max(0.0, (1.0 - lateness) / (1.0 - TIMELY)))
    return cost * room * rng.uniform(1.0 - PRICE_JITTER, 1.0 + PRICE_JITTER)


def find_priced_chain(
    own: str,
    candidates: Sequence[Candidate],
    costs: ChainCosts,
    hop_price: float,
    start_price: float,
) -> Chain | None:
    """
    Return the cheapest chain if crossings between data centres have a price.

    Parameters
    ----------
    own, costs
        As in `find_frugal_chain`.
    candidates : sequence of Candidate
        Endpoints to choose from.
    hop_price : float
        Price of a hop from one data centre to another, in ms.
    start_price : float
        Price of a first part outside the data centre of the gateway, in ms.
    """

    def hop_cost(origin: str, target: str) -> float:
        hop = costs.hop_ms(origin, target)
        return hop if origin == target else hop + hop_price

    def start_cost(data_centre: str) -> float:
        return 0.0 if data_centre == own else start_price

    layers = LayerSpan(0, costs.spec.layers)
    chain = find_chain(layers, candidates, hop_cost, start_cost)
    if chain is None:
        return None
    crossings = sum(count_crossings(chain.parts).values())
    paid = crossings * hop_price + start_cost(chain.first.data_centre)
    return attrs.evolve(chain, cost=chain.cost - paid)
