"""What a run consists of."""

import attrs

from lentilhaven.core.ids import WorkspaceId
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.testbed.deployments import Deployment, find_deployment

#: Seconds to the first token, and between tokens, for 95 of 100.
FIRST_TOKEN_TARGET, BETWEEN_TOKENS_TARGET = 1.9, 0.049


@attrs.frozen
class RunPlan:
    """
    Policies, sizes and seed of a run.

    Attributes
    ----------
    seed : int
        Seed of every random source.
    deployment : str
        Shape of the pool.
    path, admission : str
        Names of the policies.
    router_count : int
        Routers; 0 takes the deployment's own.
    scale : int
        Factor on the number of endpoints.
    between_tokens : float
        Target of the adaptive limit, in seconds.
    fixed_limit : float
        Requests in flight per router; 0 for the adaptive limit.
    prefix_count : int
        Number of common prefixes; 0 for none.
    report_period, report_delay : float
        Seconds between load reports, and until one arrives.
    recovery : str
        ``"replace-range"``, or ``"restart"`` from zero on failure.
    workspaces : dict
        Weight by workspace; empty takes the deployment's own.
    mix : TrafficMix
        Mean request.
    """

    seed: int = 1
    deployment: str = "monterrey"
    path: str = "flow"
    admission: str = "deadline"
    router_count: int = 0
    scale: int = 1
    between_tokens: float = BETWEEN_TOKENS_TARGET
    fixed_limit: float = 0.0
    prefix_count: int = 0
    report_period: float = 1.0
    report_delay: float = 0.5
    recovery: str = "replace-range"
    workspaces: dict[WorkspaceId, float] = attrs.field(factory=dict)
    mix: TrafficMix = attrs.field(factory=TrafficMix)

    def build_deployment(self) -> Deployment:
        """Return the deployment."""
        deployment = find_deployment(self.deployment, self.scale)
        if not self.router_count:
            return deployment
        return attrs.evolve(deployment, router_count=self.router_count)
