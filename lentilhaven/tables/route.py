"""Routes: which pool answers which kind of request, under which rules."""

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
    Which requests a route answers; an empty list matches everything.

    Attributes
    ----------
    models : list of str
        Models named in a completion request.
    paths : list of str
        Path prefixes below the route's name, for plain services.
    methods : list of str
        HTTP methods.
    workspaces : list of str
        Workspaces.
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
    How often a request may be tried.

    Attributes
    ----------
    max_attempts : int
        Most tries of one request, the first included.
    budget : float
        Retries allowed per recent request of the route.
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
        How a pipeline is chosen, one of `PATH_POLICY_NAMES`.
    admission : str
        How requests are admitted and ordered, one of `ADMISSION_POLICY_NAMES`.
    """

    path: str = "flow"
    admission: str = "deadline"


@attrs.frozen
class Route:
    """
    A rule that sends matching requests to a pool.

    Attributes
    ----------
    name : str
        Unique name, also the path segment below ``/services/``.
    pool : str
        The pool that answers.
    match : RouteMatch
        Which requests it answers.  The first matching route wins.
    versions : dict
        Weight by model version; requests are shared in proportion.
    deadline : float
        Seconds within which the whole answer is due.
    token_timeout : float
        Seconds of silence in a stream before its pipeline is suspected.
    idempotent_methods : list of str
        HTTP methods that a plain service may see twice.
    retry : RetryRule
        How often a request may be tried.
    policies : Policies
        Names of the policies in force.
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
