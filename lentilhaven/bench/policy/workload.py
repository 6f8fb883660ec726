"""Random workload of requests."""

import random
from collections.abc import Callable, Iterator

import attrs

from lentilhaven.bench.policy.request_record import RequestRecord
from lentilhaven.core.ids import RequestId, WorkspaceId
from lentilhaven.pipelines.traffic_mix import TrafficMix

#: Offered load in generated tokens per second, as a function of time in seconds.
Load = Callable[[float], float]


@attrs.define
class Workload:
    """
    Requests with Poisson arrivals and uniformly distributed lengths.

    Attributes
    ----------
    load : callable
        Offered load in generated tokens per second, as a function of time.
    peak : float
        Maximum of `load`.
    weights : dict
        Relative number of requests by workspace.
    mix : TrafficMix
        Mean lengths; lengths differ from the mean by at most two thirds of it.
    rng : random.Random
        Source of randomness.
    prefix_count : int
        Number of shared prompt prefixes, drawn from a power law; 0 for none.
    name : str
        Prefix of the request ids.
    """

    load: Load
    peak: float
    weights: dict[WorkspaceId, float]
    mix: TrafficMix
    rng: random.Random
    prefix_count: int = 0
    name: str = "r"

    def arrivals(self, until: float) -> Iterator[RequestRecord]:
        """Yield the requests in order of arrival, up to a time in seconds."""
        rate = self.peak / self.mix.generated_tokens
        names, weights = list(self.weights), list(self.weights.values())
        now, number = 0.0, 0
        while (now := now + self.rng.expovariate(rate)) < until:
            # Thinning yields a Poisson process of time-varying rate.
            if self.rng.random() * self.peak > self.load(now):
                continue
            number += 1
            yield RequestRecord(
                request=RequestId(f"{self.name}{number}"),
                workspace=self.rng.choices(names, weights)[0],
                arrived=now,
                prompt=self.draw_length(self.mix.prompt_tokens),
                length=self.draw_length(self.mix.generated_tokens),
                prefix=self.draw_prefix(),
            )

    def draw_length(self, mean: float) -> int:
        """Return a random number of tokens, a third to five thirds of a mean."""
        return self.rng.randint(round(mean / 3), round(mean * 5 / 3))

    def draw_prefix(self) -> str:
        """Return the name of a random shared prefix; empty if there are none."""
        if not self.prefix_count:
            return ""
        rank = int(self.prefix_count ** self.rng.random())
        return f"prefix-{rank}"


def constant_load(rate: float) -> Load:
    """Return a load that is constant over time."""
    return lambda now: rate
