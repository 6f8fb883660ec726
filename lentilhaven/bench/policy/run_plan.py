"""Parameters of a simulation run."""

import attrs

from lentilhaven.core.ids import WorkspaceId
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.testbed.deployments import Deployment, find_deployment

#: Targets of the 95th percentiles of the seconds to the first token and between
#: tokens.
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
        Name of the deployment.
    path, admission : str
        Names of the path policy and of the admission policy.
    router_count : int
        Number of routers; 0 uses the deployment's number.
    scale : int
        Factor by which the number of endpoints is multiplied.
    token_gap_target : float
        Target of the adaptive limit for the seconds between tokens.
    fixed_limit : float
        Maximum number of requests in flight per router; 0 uses the adaptive limit.
    prefix_count : int
        Number of shared prompt prefixes; 0 for none.
    report_period, report_delay : float
        Seconds between load reports, and from the sending of a report to its arrival.
    recovery : str
        Recovery from the loss of a stage: ``"replace-range"`` replaces the lost
        endpoints, ``"restart"`` generates the response anew from its first token.
    workspaces : dict
        Weight by workspace; empty uses the deployment's workspaces.
    mix : TrafficMix
        Mean request lengths.
    """

    seed: int = 1
    deployment: str = "monterrey"
    path: str = "flow"
    admission: str = "deadline"
    router_count: int = 0
    scale: int = 1
    token_gap_target: float = BETWEEN_TOKENS_TARGET
    fixed_limit: float = 0.0
    prefix_count: int = 0
    report_period: float = 1.0
    report_delay: float = 0.5
    recovery: str = "replace-range"
    workspaces: dict[WorkspaceId, float] = attrs.field(factory=dict)
    mix: TrafficMix = attrs.field(factory=TrafficMix)

    def build_deployment(self) -> Deployment:
        """Return the deployment, with the number of routers of this plan."""
        deployment = find_deployment(self.deployment, self.scale)
        if not self.router_count:
            return deployment
        return attrs.evolve(deployment, router_count=self.router_count)
