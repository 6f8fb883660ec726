"""Load: demand that swings against the engines, in a model without a network."""

import math
from collections import deque
from random import Random

import attrs

from lentilhaven.chains.chain_costs import ChainCosts
from lentilhaven.chains.chain_search import Candidate
from lentilhaven.chains.pipe_meter import count_crossings, pipe_name
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.locality import StreamNeeds, find_frugal_chain

SPEC = EngineSpec(
    "m",
    20,
    1750.0,
    492_000.0,
    {},
    step_ms=24.0,
    step_ms_per_sequence=0.5,
    prefill_tokens_per_s=20_000.0,
    activation_bytes=18_000.0,
    link_mbps=100_000.0,
    data_centre_link_mbps=2720.0,
    mean_prompt_tokens=760.0,
    mean_output_tokens=69.0,
)

#: Chains of four engines each, by data centre; most are where demand is lowest.
CHAIN_COUNTS = {"a": 3, "b": 2, "c": 1}

#: Requests for which an engine has memory, and tokens of one request.
MEMORY = 80
TOKENS = SPEC.mean_prompt_tokens + SPEC.mean_output_tokens

#: Number of gateways in each data centre.
GATEWAYS = 9

#: Age of what a gateway knows of the requests of others, in seconds.
REPORT_AGE = 0.25

#: Relative half-width of the random factor on an engine's cost.
COST_JITTER = 0.1

NEEDS = StreamNeeds(first_event=0.5, longest_pause=0.2)


@attrs.frozen
class Served:
    """One stream: when and where it came, its lateness, and whether it crosses."""

    at: float
    data_centre: str
    lateness: float
    crosses: bool


def make_engines():
    """Return engines that hold a quarter of the layers each."""
    size = SPEC.layers // 4
    return [
        Endpoint(f"{name}{chain}{part}", "s", f"{name}{chain}{part}", name, layers=span)
        for name, count in CHAIN_COUNTS.items()
        for chain in range(count)
        for part in range(4)
        if (span := LayerSpan(part * size, (part + 1) * size))
    ]


def split(candidates, own):
    """Return the candidates of a data centre, and those of the others."""
    local = [it for it in candidates if it.endpoint.data_centre == own]
    return local, [it for it in candidates if it.endpoint.data_centre != own]


@attrs.define
class SwingModel:
    """Gateways that choose chains by what they know, and engines that run them."""

    choose: object = find_frugal_chain
    engines: list = attrs.field(factory=make_engines)
    random: Random = attrs.field(factory=lambda: Random(1))
    running: deque = attrs.field(factory=deque)
    served: list = attrs.field(factory=list)

    def count_running(self, now, gateway):
        """Return the requests at each engine and on each pipe, as a gateway knows."""
        load, pipes = {}, {}
        for began, ends, owner, chain in self.running:
            age = REPORT_AGE if gateway not in (owner, None) else 0.0
            if began + age <= now < ends + age:
                for endpoint in chain.endpoints:
                    load[endpoint.id] = load.get(endpoint.id, 0) + 1
                for name, count in count_crossings(chain.parts).items():
                    rate = count * TOKENS / (ends - began)
                    pipes[name] = pipes.get(name, 0.0) + rate
        return load, pipes

    def view(self, now, gateway, jitter):
        """Return costs and candidates as a gateway knows them; None knows all."""
        load, pipes = self.count_running(now, gateway)
        costs = ChainCosts(
            SPEC,
            SPEC.mean_prompt_tokens,
            SPEC.mean_output_tokens,
            lambda one, other: pipes.get(pipe_name(one, other), 0.0),
        )
        candidates = []
        for engine in self.engines:
            count = load.get(engine.id, 0)
            memory_use = count / MEMORY
            cost = costs.layer_ms("", 1.0, count) * (1.0 + 4.0 * memory_use**2)
            cost *= self.random.uniform(1 - jitter, 1 + jitter)
            prompt = costs.prompt_layer_ms("", 1.0)
            candidates.append(
                Candidate(engine, cost, count < MEMORY, prompt, count, memory_use)
            )
        return costs, candidates

    def arrive(self, now, data_centre):
        """Start a stream at a random gateway of a data centre."""
        while self.running and self.running[0][1] + REPORT_AGE < now:
            self.running.popleft()
        gateway = (data_centre, self.random.randrange(GATEWAYS))
        costs, candidates = self.view(now, gateway, COST_JITTER)
        local, remote = split(candidates, data_centre)
        chain = self.choose(
            NEEDS, data_centre, local, lambda: remote, costs, self.random
        )
        if chain is None:
            self.served.append(Served(now, data_centre, math.inf, False))
            return
        costs, candidates = self.view(now, None, 0.0)
        by_id = {it.endpoint.id: it for it in candidates}
        cost = sum(by_id[it.id].layer_cost * len(span) for it, span in chain.parts)
        places = [it.data_centre for it in chain.endpoints]
        cost += sum(map(costs.hop_ms, places, places[1:]))
        chain = attrs.evolve(chain, cost=cost)
        self.running.append((now, now + cost / 1000.0, gateway, chain))
        lateness = NEEDS.lateness(costs, chain, candidates)
        crosses = set(places) != {data_centre}
        self.served.append(Served(now, data_centre, lateness, crosses))

    def run(self, seconds, rates):
        """Serve streams; `rates` takes a time and returns the demands."""
        now, peak = 0.0, 120.0
        while now < seconds:
            now += self.random.expovariate(peak)
            wanted = rates(now)
            drawn = self.random.random() * peak
            for name, rate in wanted.items():
                if drawn < rate:
                    self.arrive(now, name)
                    break
                drawn -= rate
        return self.served


def swing(mean, periods=(11.0, 13.0, 17.0), depth=0.55):
    """Return demands that swing about a mean, each with its period and phase."""

    def rates(now):
        return {
            name: mean * (1 + depth * math.sin(2 * math.pi * now / period + phase))
            for name, period, phase in zip("abc", periods, (0.0, 2.0, 4.0), strict=True)
        }

    return rates
