"""Requests that arrive at random."""

import random
from collections.abc import Callable, Iterator

import attrs

from lentilhaven.bench.policy.answer_record import AnswerRecord
from lentilhaven.core.ids import RequestId, WorkspaceId
from lentilhaven.pipelines.traffic_mix import TrafficMix

#: Offered load in generated tokens per second at a time.
Load = Callable[[float], float]


@attrs.define
class Workload:
    """
    Poisson arrivals with uniform lengths.

    Attributes
    ----------
    load : callable
        Offered load in generated tokens per second, by time.
    peak : float
        Its greatest value.
    weights : dict
        Part of the requests by workspace.
    mix : TrafficMix
        Mean lengths; lengths lie within two thirds around it.
    random : random.Random
        Source of chance.
    prefix_count : int
        Number of common prefixes, drawn by a power law; 0 for none.
    name : str
        Prefix of request ids.
    """

    load: Load
    peak: float
    weights: dict[WorkspaceId, float]
    mix: TrafficMix
    random: random.Random
    prefix_count: int = 0
    name: str = "r"

    def arrivals(self, until: float) -> Iterator[AnswerRecord]:
        """Yield the requests in order of arrival."""
        rate = self.peak / self.mix.generated_tokens
        names, weights = list(self.weights), list(self.weights.values())
        now, number = 0.0, 0
        while (now := now + self.random.expovariate(rate)) < until:
            # Thinning makes a Poisson process of varying rate.
            if self.random.random() * self.peak > self.load(now):
                continue
            number += 1
            yield AnswerRecord(
                request=RequestId(f"{self.name}{number}"),
                workspace=self.random.choices(names, weights)[0],
                arrived=now,
                prompt=self.draw_length(self.mix.prompt_tokens),
                length=self.draw_length(self.mix.generated_tokens),
                prefix=self.draw_prefix(),
            )

    def draw_length(self, mean: float) -> int:
        """Return a length between a third and five thirds of a mean."""
        return self.random.randint(round(mean / 3), round(mean * 5 / 3))

    def draw_prefix(self) -> str:
        """Return the name of a common prefix, or an empty string."""
        if not self.prefix_count:
            return ""
        rank = int(self.prefix_count ** self.random.random())
        return f"prefix-{rank}"


def constant(rate: float) -> Load:
    """Return a load that does not change."""
    return lambda now: rate
