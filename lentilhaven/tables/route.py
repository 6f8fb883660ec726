"""Routes, which assign requests to pools and set the rules for them."""

import attrs

from lentilhaven.core.ids import (
    ModelName,
    ModelVersion,
    PoolName,
    RouteName,
    WorkspaceId,
)


@attrs.frozen
class RouteMatch:
    """
    Conditions that a request must meet; an empty list accepts every value.

    Attributes
    ----------
    models : list of str
        Models named in a completion request.
    paths : list of str
        Prefixes of the path after the route's name, for plain services.
    methods : list of str
        HTTP methods.
    workspaces : list of str
        Workspaces that send the request.
    priorities : list of str
        Priority classes.
    """

    models: list[ModelName] = attrs.field(factory=list)
    paths: list[str] = attrs.field(factory=list)
    methods: list[str] = attrs.field(factory=list)
    workspaces: list[WorkspaceId] = attrs.field(factory=list)
    priorities: list[str] = attrs.field(factory=list)


@attrs.frozen
class RetryRule:
    """
    Limits on the attempts of a request.

    Attributes
    ----------
    max_attempts : int
        Maximum number of attempts per request, including the first.
    budget : float
        Maximum ratio of retries to recent requests of the route.
    """

    max_attempts: int = 3
    budget: float = 0.1


@attrs.frozen
class Policies:
    """
    Names of the policies that a route uses.

    Attributes
    ----------
    path : str
        Policy that chooses a pipeline, one of `PATH_POLICY_NAMES`.
    admission : str
        Policy that admits and orders requests, one of `ADMISSION_POLICY_NAMES`.
    """

    path: str = "flow"
    admission: str = "deadline"


@attrs.frozen
class Route:
    """
    Rule that sends matching requests to a pool.

    Attributes
    ----------
    name : str
        Unique name; for plain services also the path segment after ``/services/``.
    pool : str
        Name of the pool that answers.
    match : RouteMatch
        Conditions that a request must meet.  The first matching route is used.
    versions : dict
        Weight by model version; requests are distributed in proportion.  If empty,
        all requests go to the newest version in the pool.
    deadline : float
        Seconds within which the whole response must be complete.
    token_timeout : float
        Seconds without a token after which the pipeline of a stream is suspected
        of failure.
    idempotent_methods : list of str
        HTTP methods whose requests may reach a plain service more than once.
    retry : RetryRule
        Limits on the attempts of a request.
    policies : Policies
        Names of the policies of the route.
    """

    name: RouteName
    pool: PoolName
    match: RouteMatch = attrs.field(factory=RouteMatch)
    versions: dict[ModelVersion, float] = attrs.field(factory=dict)
    deadline: float = 60.0
    token_timeout: float = 0.2
    idempotent_methods: list[str] = attrs.field(
        factory=lambda: ["GET", "HEAD", "OPTIONS"]
    )
    retry: RetryRule = attrs.field(factory=RetryRule)
    policies: Policies = attrs.field(factory=Policies)
