"""Path selection of one router for one pool."""

import random
from collections.abc import Collection

import attrs

from lentilhaven.balancing.corrections import compute_corrections
from lentilhaven.balancing.demand_level import DEMAND_STEPS, DemandLevel
from lentilhaven.balancing.flow_choice import choose_by_flow
from lentilhaven.balancing.link_timing import LinkTiming, inter_data_centre_links
from lentilhaven.balancing.path_policies import PathPolicy
from lentilhaven.balancing.path_repair import repair_path
from lentilhaven.balancing.suspects import Suspects
from lentilhaven.core.ids import EndpointId, ModelVersion
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan, plan_paths
from lentilhaven.pipelines.range_group import GroupMember, LinkKey
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.pool import Pool

#: Maximum number of cached plans; the cache is cleared when it is full.
MAX_CACHED_PLANS = 64


@attrs.frozen
class PlanKey:
    """
    Inputs of a plan other than its pool.

    Attributes
    ----------
    version : str or None
        Model version; None accepts any version.
    unusable : frozenset of str
        Endpoints to exclude.
    unusable_links : frozenset of LinkKey
        Links to exclude.
    demand_step : int
        Fraction of the bound that is in demand, in tenths.
    """

    version: ModelVersion | None
    unusable: frozenset[EndpointId] = frozenset()
    unusable_links: frozenset[LinkKey] = frozenset()
    demand_step: int = DEMAND_STEPS


@attrs.define
class PathChooser:
    """
    State of path selection through one pool.

    Attributes
    ----------
    policy : callable
        Path policy, one of the values of `PATH_POLICIES`.
    mix : TrafficMix
        Mean request lengths.
    loads : PathLoads
        Loads as known to this router.
    timing : LinkTiming
        Detects slow links.
    pool : Pool or None
        Pool that the cached plans belong to.
    plans : dict
        Cached `PathPlan` by `PlanKey`.
    corrections_key : PlanKey or None
        Key of the plan that the load corrections were computed for; None if
        they are out of date.
    suspects : Suspects
        Endpoints that failed recently.
    demand : DemandLevel
        Fraction of the bound that is in demand.
    """

    policy: PathPolicy = choose_by_flow
    mix: TrafficMix = attrs.field(factory=TrafficMix)
    loads: PathLoads = attrs.field(factory=PathLoads)
    timing: LinkTiming = attrs.field(factory=LinkTiming)
    pool: Pool | None = None
    plans: dict[PlanKey, PathPlan] = attrs.field(factory=dict)
    corrections_key: PlanKey | None = None
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
        Return the current plan; it is recomputed only when its inputs change.

        Suspected endpoints and slow links are excluded, unless no flow is possible
        without them.  If another plan becomes current, the load corrections are
        computed anew and the counts of link uses are reset.

        Parameters
        ----------
        pool : Pool
            Pool to plan for.
        version : str or None
            Model version; None accepts any version.
        unusable : collection of str
            Endpoints to exclude.
        now : float
            Monotonic time, in seconds.
        """
        if pool is not self.pool:
            self.pool = pool
            self.plans.clear()
        excluded = frozenset(unusable)
        avoided = excluded | self.suspects.current(now)
        slow = self.timing.slow_links(now)
        key = PlanKey(version, avoided, slow, self.demand.step)
        plan = self.get_or_build_plan(pool, key)
        if plan.rate == 0:
            key = PlanKey(version, excluded)
            plan = self.get_or_build_plan(pool, key)
        if key != self.corrections_key:
            self.update_corrections(plan, key)
            self.loads.link_uses.clear()
        return plan

    def get_or_build_plan(self, pool: Pool, key: PlanKey) -> PathPlan:
        """Return the cached plan of a key, or compute and cache it."""
        if key not in self.plans:
            if len(self.plans) >= MAX_CACHED_PLANS:
                self.plans.clear()
            self.plans[key] = plan_paths(
                pool,
                key.version,
                self.mix,
                key.unusable,
                key.unusable_links,
                key.demand_step / DEMAND_STEPS,
            )
        return self.plans[key]

    def update_corrections(self, plan: PathPlan, key: PlanKey) -> None:
        """Compute the load corrections for a plan, and record its key."""
        loads = self.loads
        loads.corrections = compute_corrections(plan, loads.reported, loads.routers)
        self.corrections_key = key

    def adopt_reports(self, reported: dict[EndpointId, float], routers: int) -> None:
        """
        Replace the reported loads; the next plan computes new load corrections.

        Parameters
        ----------
        reported : dict
            Reported requests by endpoint.
        routers : int
            Number of routers that share the endpoints.
        """
        self.loads.reported = reported
        self.loads.routers = max(1, routers)
        self.corrections_key = None

    def count_demand(self, plan: PathPlan, now: float) -> None:
        """
        Add a request that is about to start to the measured demand.

        Parameters
        ----------
        plan : PathPlan
            Current plan.
        now : float
            Monotonic time, in seconds.
        """
        full_rate = plan.rate / self.mix.generated_tokens / self.loads.routers
        self.demand.observe(full_rate, now)

    def choose(
        self, plan: PathPlan, request: PathRequest, rng: random.Random
    ) -> list[GroupMember] | None:
        """
        Return a path, or None if no path has enough KV memory left.

        Parameters
        ----------
        plan : PathPlan
            Current plan.
        request : PathRequest
            Size and prefix of the request.
        rng : random.Random
            Source of randomness.
        """
        if plan.rate == 0:
            return None
        path = self.policy(plan, self.loads, request, rng)
        if path is None or not all(self.loads.fits(member, request) for member in path):
            return None
        return path

    def repair(
        self,
        plan: PathPlan,
        request: PathRequest,
        path: list[GroupMember],
        lost: set[EndpointId],
        rng: random.Random,
    ) -> list[GroupMember] | None:
        """
        Return a path that avoids the lost endpoints, or None if there is none.

        Only the lost members are replaced if possible; otherwise the whole path is
        chosen anew.

        Parameters
        ----------
        plan : PathPlan
            Current plan, without the lost endpoints.
        request : PathRequest
            Size and prefix of the request.
        path : list of GroupMember
            Current path, already removed from the loads.
        lost : set of str
            Endpoints that failed.
        rng : random.Random
            Source of randomness.
        """
        repaired = repair_path(plan, self.loads, request, path, lost, rng)
        return repaired or self.choose(plan, request, rng)

    def bypass_slow_links(
        self,
        plan: PathPlan,
        request: PathRequest,
        path: list[GroupMember],
        now: float,
        rng: random.Random,
    ) -> list[GroupMember] | None:
        """
        Return a path that bypasses the slow links of a path.

        The result is None if the path uses no slow link, or if no alternative
        avoids all slow links.

        Parameters
        ----------
        plan : PathPlan
            Current plan.
        request : PathRequest
            Size of the request.
        path : list of GroupMember
            Current path of the request.
        now : float
            Monotonic time, in seconds.
        rng : random.Random
            Source of randomness.
        """
        slow = self.timing.slow_links(now)
        slow_used = [link for link in inter_data_centre_links(path) if link in slow]
        if not slow_used:
            return None
        # Only the members that follow the slow links are replaced.
        boundaries = {link.boundary for link in slow_used}
        targets = {
            member.endpoint for member in path if member.layers.start in boundaries
        }
        rerouted = repair_path(plan, self.loads, request, path, targets, rng)
        if rerouted is None or any(
            link in slow for link in inter_data_centre_links(rerouted)
        ):
            return None
        return rerouted
