"""Chooses paths for one router."""

import random
from collections.abc import Collection

import attrs

from lentilhaven.balancing.corrections import find_corrections
from lentilhaven.balancing.demand_level import STEPS, DemandLevel
from lentilhaven.balancing.flow_choice import choose_by_flow
from lentilhaven.balancing.link_timing import LinkTiming, links_of
from lentilhaven.balancing.path_policies import PathPolicy
from lentilhaven.balancing.path_repair import repair_path
from lentilhaven.balancing.suspects import Suspects
from lentilhaven.core.ids import EndpointId, ModelVersion
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan, plan_paths
from lentilhaven.pipelines.range_group import LinkKey, Member
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.pool import Pool

#: Plans kept; a plan is made anew when it is asked for after more than these.
MAX_PLANS = 64


@attrs.frozen
class PlanKey:
    """
    What a plan depends on besides its pool.

    Attributes
    ----------
    version : str or None
        Version of the model.
    unusable : frozenset of str
        Endpoints left out.
    unusable_links : frozenset of LinkKey
        Links left out.
    level : int
        Part of the bound that is in demand, in tenths.
    """

    version: ModelVersion | None
    unusable: frozenset[EndpointId] = frozenset()
    unusable_links: frozenset[LinkKey] = frozenset()
    level: int = STEPS


@attrs.define
class PathChooser:
    """
    State of the choice of paths through one pool.

    Attributes
    ----------
    policy : callable
        One of `PATH_POLICIES`.
    mix : TrafficMix
        Mean request.
    loads : PathLoads
        Loads as this router sees them.
    timing : LinkTiming
        Finds slow links.
    pool : Pool or None
        Pool of the plans.
    plans : dict
        `PathPlan` by `PlanKey`.
    corrected_for : PlanKey or None
        Plan that the corrections were made for.
    suspects : Suspects
        Endpoints that failed lately.
    demand : DemandLevel
        Part of the bound that is in demand.
    """

    policy: PathPolicy = choose_by_flow
    mix: TrafficMix = attrs.field(factory=TrafficMix)
    loads: PathLoads = attrs.field(factory=PathLoads)
    timing: LinkTiming = attrs.field(factory=LinkTiming)
    pool: Pool | None = None
    plans: dict[PlanKey, PathPlan] = attrs.field(factory=dict)
    corrected_for: PlanKey | None = None
    suspects: Suspects = attrs.field(factory=Suspects)
    demand: DemandLevel = attrs.field(factory=DemandLevel)

    def plan(
        self,
        pool: Pool,
        version: ModelVersion | None,
        unusable: Collection[EndpointId],
        now: float,
    ) -> PathPlan:
        """
        Return the plan in force; it is made anew only when its input changes.

        A slow link or a suspect is used after all if there is no flow without it.

        Parameters
        ----------
        pool : Pool
            The pool.
        version : str or None
            Version of the model.
        unusable : collection of str
            Endpoints left out.
        now : float
            Monotonic time, in seconds.
        """
        if pool is not self.pool:
            self.pool = pool
            self.plans.clear()
        left_out = frozenset(unusable)
        suspected = left_out | self.suspects.current(now)
        slow = self.timing.slow_links(now)
        key = PlanKey(version, suspected, slow, self.demand.step)
        plan = self.find_plan(pool, key)
        if plan.rate == 0:
            key = PlanKey(version, left_out)
            plan = self.find_plan(pool, key)
        if key != self.corrected_for:
            self.correct(plan, key)
            self.loads.link_uses.clear()
        return plan

    def find_plan(self, pool: Pool, key: PlanKey) -> PathPlan:
        """Return the plan of a key, making it if need be."""
        if key not in self.plans:
            if len(self.plans) >= MAX_PLANS:
                self.plans.clear()
            self.plans[key] = plan_paths(
                pool,
                key.version,
                self.mix,
                key.unusable,
                key.unusable_links,
                key.level / STEPS,
            )
        return self.plans[key]

    def correct(self, plan: PathPlan, key: PlanKey) -> None:
        """Work out the corrections for a plan."""
        loads = self.loads
        loads.corrections = find_corrections(plan, loads.reported, loads.routers)
        self.corrected_for = key

    def adopt_reports(self, reported: dict[EndpointId, float], routers: int) -> None:
        """
        Take in load reports.

        Parameters
        ----------
        reported : dict
            Requests by endpoint.
        routers : int
            Routers that share the endpoints.
        """
        self.loads.reported = reported
        self.loads.routers = max(1, routers)
        self.corrected_for = None

    def count_demand(self, plan: PathPlan, now: float) -> None:
        """
        Count a request that is about to start.

        Parameters
        ----------
        plan : PathPlan
            The plan in force.
        now : float
            Monotonic time, in seconds.
        """
        full_rate = plan.rate / self.mix.generated_tokens / self.loads.routers
        self.demand.observe(full_rate, now)

    def choose(
        self, plan: PathPlan, request: PathRequest, random: random.Random
    ) -> list[Member] | None:
        """
        Return a path, or None if there is none with KV memory left.

        Parameters
        ----------
        plan : PathPlan
            The plan in force.
        request : PathRequest
            Size and prefix of the request.
        random : random.Random
            Source of chance.
        """
        if plan.rate == 0:
            return None
        path = self.policy(plan, self.loads, request, random)
        if path is None or not all(self.loads.fits(it, request) for it in path):
            return None
        return path

    def repair(
        self,
        plan: PathPlan,
        request: PathRequest,
        path: list[Member],
        lost: set[EndpointId],
        random: random.Random,
    ) -> list[Member] | None:
        """
        Return a path with only the lost ranges replaced, or a new one, or None.

        Parameters
        ----------
        plan : PathPlan
            The plan in force.
        request : PathRequest
            Size and prefix of the request.
        path : list of Member
            The path so far, counted out of the loads.
        lost : set of str
            Endpoints that failed.
        random : random.Random
            Source of chance.
        """
        repaired = repair_path(plan, self.loads, request, path, lost, random)
        return repaired or self.choose(plan, request, random)

    def leave_links(
        self,
        plan: PathPlan,
        request: PathRequest,
        path: list[Member],
        now: float,
        random: random.Random,
    ) -> list[Member] | None:
        """
        Return a path round the slow links of a path; None if there is no need.

        Parameters
        ----------
        plan : PathPlan
            The plan in force.
        request : PathRequest
            Size of the request.
        path : list of Member
            Its path so far.
        now : float
            Monotonic time, in seconds.
        random : random.Random
            Source of chance.
        """
        slow = self.timing.slow_links(now)
        taken = [link for link in links_of(path) if link in slow]
        if not taken:
            return None
        starts = {link.boundary for link in taken}
        behind = {it.endpoint for it in path if it.layers.start in starts}
        moved = repair_path(plan, self.loads, request, path, behind, random)
        if moved is None or any(link in slow for link in links_of(moved)):
            return None
        return moved
