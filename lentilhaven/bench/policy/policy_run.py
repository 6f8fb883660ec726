"""Simulation of routers, engines and a workload."""

import attrs

from lentilhaven.balancing.path_chooser import PathChooser
from lentilhaven.balancing.path_policies import PATH_POLICIES, PathPolicy
from lentilhaven.bench.policy.omniscient import omniscient
from lentilhaven.bench.policy.request_record import RequestRecord
from lentilhaven.bench.policy.router_model import SCAN_PERIOD, RouterModel
from lentilhaven.bench.policy.run_plan import BETWEEN_TOKENS_TARGET, RunPlan
from lentilhaven.bench.policy.workload import Load, Workload
from lentilhaven.core.ids import EndpointId, WorkspaceId
from lentilhaven.core.randomness import derive_random
from lentilhaven.limits.adaptive_limit import AdaptiveLimit, initial_limit
from lentilhaven.limits.admission_controller import AdmissionController
from lentilhaven.limits.admission_state import AdmissionState
from lentilhaven.limits.drain_rate import DrainRate
from lentilhaven.pipelines.bound import bound_of
from lentilhaven.pipelines.path_loads import PathLoads
from lentilhaven.standins.service_model import Cluster, EventQueue
from lentilhaven.testbed.deployments import Deployment

#: Seconds from the failure of an endpoint until the agents have marked it unusable.
DETECTION_DELAY = 2.0


@attrs.define(eq=False)
class PolicyRun:
    """
    State of one simulation run.

    Attributes
    ----------
    plan : RunPlan
        Policies, sizes and seed.
    deployment : Deployment
        Endpoints, links and number of routers.
    events : EventQueue
        Scheduled events and the virtual time.
    cluster : Cluster
        Models of the engines and links.
    routers : list of RouterModel
        Models of the routers; a load balancer sends each request to a random one.
    records : list of RequestRecord
        All requests that have arrived.
    bound : float
        Upper bound of the pool's generated tokens per second.
    """

    plan: RunPlan
    deployment: Deployment
    events: EventQueue
    cluster: Cluster
    routers: list[RouterModel]
    bound: float
    records: list[RequestRecord] = attrs.field(factory=list)

    def weights(self) -> dict[WorkspaceId, float]:
        """Return the weight of each workspace, from the plan or else the deployment."""
        return dict(self.plan.workspaces) or workspace_weights(self.deployment)

    def schedule_workload(
        self,
        load: Load,
        peak: float,
        until: float,
        weights: dict[WorkspaceId, float] | None = None,
        name: str = "r",
    ) -> None:
        """
        Schedule the arrivals of a workload.

        Parameters
        ----------
        load : callable
            Offered load in generated tokens per second, as a function of time.
        peak : float
            Maximum of `load`.
        until : float
            Time after which no request arrives, in seconds.
        weights : dict or None
            Relative number of requests by workspace; None uses the workspaces'
            weights.
        name : str
            Prefix of the request ids; must differ between the workloads of a run.
        """
        plan = self.plan
        rng = derive_random(plan.seed, "workload", name)
        workload = Workload(
            load,
            peak,
            weights or self.weights(),
            plan.mix,
            rng,
            plan.prefix_count,
            name,
        )
        balancer_rng = derive_random(plan.seed, "balancer", name)
        arrivals = workload.arrivals(until)

        def schedule_next() -> None:
            record = next(arrivals, None)
            if record is None:
                return
            router = balancer_rng.choice(self.routers)

            def arrive() -> None:
                self.records.append(record)
                router.arrive(record)
                schedule_next()

            self.events.schedule_at(record.arrived, arrive)

        schedule_next()

    def run(self, until: float) -> None:
        """Process all events up to a time, in seconds."""
        self.events.run(until)

    def kill(self, endpoints: list[EndpointId], silent: bool) -> None:
        """
        Kill endpoints; the agents mark them unusable after `DETECTION_DELAY`.

        If `silent`, connections become unresponsive instead of breaking.
        """
        for endpoint in endpoints:
            self.cluster.kill(endpoint, silent)

        def mark_unusable() -> None:
            for router in self.routers:
                router.unusable |= set(endpoints)

        self.events.schedule_after(DETECTION_DELAY, mark_unusable)

    def report_loads(self) -> None:
        """Send load reports periodically; each arrives after the report delay."""
        loads = self.cluster.loads()

        def deliver() -> None:
            for router in self.routers:
                router.chooser.adopt_reports(loads, len(self.routers))

        self.events.schedule_after(self.plan.report_delay, deliver)
        self.events.schedule_after(self.plan.report_period, self.report_loads)

    def scan(self) -> None:
        """Let every router scan periodically for silent streams."""
        for router in self.routers:
            router.scan()
        self.events.schedule_after(SCAN_PERIOD, self.scan)


def open_run(plan: RunPlan) -> PolicyRun:
    """
    Return a new run at time 0, with load reports and scans scheduled.

    Parameters
    ----------
    plan : RunPlan
        Policies, sizes and seed.
    """
    deployment = plan.build_deployment()
    events = EventQueue()
    cluster = Cluster(deployment.pool, events, deployment.client_latency)
    bound = bound_of(deployment.pool, plan.mix).rate
    routers = [
        open_router_model(plan, deployment, cluster, index, bound)
        for index in range(deployment.router_count)
    ]
    run = PolicyRun(plan, deployment, events, cluster, routers, bound)
    run.report_loads()
    events.schedule_after(SCAN_PERIOD, run.scan)
    return run


def open_router_model(
    plan: RunPlan, deployment: Deployment, cluster: Cluster, index: int, bound: float
) -> RouterModel:
    """Return the model of one router."""
    count = deployment.router_count
    weights = dict(plan.workspaces) or workspace_weights(deployment)
    expected_duration = plan.mix.generated_tokens * BETWEEN_TOKENS_TARGET
    drain_rate = DrainRate(plan.mix.total_tokens, expected_duration)
    if plan.fixed_limit:
        limit = AdaptiveLimit(float("inf"), plan.fixed_limit, plan.fixed_limit)
        limit.max_limit = plan.fixed_limit
    else:
        limit = AdaptiveLimit(
            plan.token_gap_target, initial_limit(bound, plan.token_gap_target, count)
        )
    return RouterModel(
        cluster,
        PathChooser(find_policy(plan, cluster), plan.mix, PathLoads(count)),
        AdmissionController(AdmissionState(limit, drain_rate), plan.admission),
        derive_random(plan.seed, "router", str(index)),
        lambda workspace: weights.get(workspace, 1.0),
        plan.recovery == "restart",
    )


def workspace_weights(deployment: Deployment) -> dict[WorkspaceId, float]:
    """Return the weight of each workspace in the tables of a deployment."""
    return {it.id: it.weight for it in deployment.tables.workspaces}


def find_policy(plan: RunPlan, cluster: Cluster) -> PathPolicy:
    """Return the path policy that a plan names, or the omniscient one."""
    if plan.path == "omniscient":
        return omniscient(cluster)
    return PATH_POLICIES[plan.path]
