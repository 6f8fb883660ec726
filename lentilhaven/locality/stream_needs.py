"""How close a chain comes to what the caller of a stream needs."""

from collections.abc import Sequence

import attrs

from lentilhaven.chains.chain import Chain
from lentilhaven.chains.chain_costs import ChainCosts
from lentilhaven.chains.chain_search import Candidate

#: Number of mean waits within which a stream must be in time.  Waits vary: of those
#: that are exponentially distributed, one in 55 is longer than four times their mean.
WAIT_MARGIN = 4.0

#: Factor by which the pauses of a stream may exceed the estimate: of 2,805 streams of
#: more than 20 events in a day with 26 gateways and 99 engines, nine in ten had 0.4 to
#: 2.5 times their estimated time.
ESTIMATE_MARGIN = 2.5

#: Memory use at which an engine gets no more requests, and the use below it at which
#: a chain counts as half as late as it may be.
FULL_MEMORY_USE = 0.95
HALF_LATE_MEMORY_USE = 0.7

#: Upper limit of the time that an engine spends on prompts, as a share; the estimated
#: wait grows without bound as the share approaches 1.
MAX_PROMPT_SHARE = 0.9


@attrs.frozen
class StreamNeeds:
    """
    What the caller of a stream needs.

    Attributes
    ----------
    first_event : float
        Longest time to the first event with which an answer is in time, in seconds.
    longest_pause : float
        Longest pause between two events with which an answer is in time, in seconds.
    """

    first_event: float
    longest_pause: float

    def lateness(
        self, costs: ChainCosts, chain: Chain, candidates: Sequence[Candidate]
    ) -> float:
        """
        Return how close a stream on a chain would come to being late.

        The result is 0 on idle engines of unlimited speed, and 1 where the stream is
        expected to be late by its pauses or its first event, or where an engine of the
        chain has no memory left.

        Parameters
        ----------
        costs : ChainCosts
            Estimates for the request.
        chain : Chain
            The chain, with its cost.
        candidates : sequence of Candidate
            The endpoints among which the chain was found.
        """
        by_id = {it.endpoint.id: it for it in candidates}
        parts = [(by_id[endpoint.id], len(span)) for endpoint, span in chain.parts]
        prompt_ms, wait_ms = prompt_times(parts, chain.cost)
        wait = WAIT_MARGIN * wait_ms / 1000.0
        pause = ESTIMATE_MARGIN * costs.mean_pause(chain.cost) + wait
        first_event = prompt_ms / 1000.0 + wait
        return max(
            pause / self.longest_pause,
            first_event / self.first_event,
            memory_lateness(max(it.memory_use for it, _ in parts)),
        )


def prompt_times(
    parts: Sequence[tuple[Candidate, int]], cost: float
) -> tuple[float, float]:
    """
    Return the times in which a chain reads a prompt and waits for other prompts.

    An engine reads the prompts of its requests one after another, and events of other
    requests wait meanwhile.  The wait is that of a single-server queue (see
    `ChainCosts.hop_ms`), with the time of this prompt as the mean of the service times.

    Parameters
    ----------
    parts : sequence of (Candidate, int)
        Each engine with the number of its layers that the chain uses.
    cost : float
        Time that a request spends on the chain, in ms.

    Returns
    -------
    tuple of (float, float)
        Time to read the prompt and mean wait, in ms.

    Examples
    --------
    >>> from lentilhaven.fleet.endpoint import Endpoint
    >>> engine = Candidate(Endpoint("a", "s", "a", "z"), 25.0, True, 1.0, load=25.0)
    >>> prompt_times([(engine, 40)], 2000.0)
    (40.0, 40.0)
    """
    read = wait = 0.0
    for candidate, layer_count in parts:
        prompt_ms = candidate.prompt_cost * layer_count
        share = min(MAX_PROMPT_SHARE, candidate.load * prompt_ms / max(cost, 1.0))
        read += prompt_ms
        wait += prompt_ms * share / (1.0 - share)
    return read, wait


def memory_lateness(memory_use: float) -> float:
    """
    Return the lateness that follows from the memory use of an engine.

    Examples
    --------
    >>> [round(memory_lateness(it), 2) for it in (0.2, 0.7, 0.95)]
    [0.0, 0.5, 1.0]
    """
    room = (FULL_MEMORY_USE - memory_use) / (FULL_MEMORY_USE - HALF_LATE_MEMORY_USE)
    return max(0.0, 1.0 - 0.5 * room)
