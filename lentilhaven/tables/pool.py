"""Pools of endpoints that serve a model or a service."""

import enum

import attrs

from lentilhaven.core.ids import ModelName, PoolName
from lentilhaven.tables.accelerator import Accelerator
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.link import Link


class PoolKind(enum.Enum):
    """Kind of the endpoints of a pool."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class Pool:
    """
    Set of endpoints that serve one model or one plain service.

    Attributes
    ----------
    name : str
        Name that routes refer to.
    kind : PoolKind
        Whether the endpoints are model engines or plain services.
    endpoints : list of EndpointSpec
        Endpoints of the pool.
    model : str
        Model whose layers the engines hold; empty for services.
    layer_count : int
        Number of the model's layers; 0 for services.
    accelerators : dict
        `Accelerator` by the name that endpoints refer to.
    links : list of Link
        Links between data centres, and within them.  If any are listed, an unlisted
        link between two data centres is not used; otherwise all are unlimited.
    checks_fencing : bool
        Whether endpoints refuse orders with an outdated fencing token.
    checks_idempotency_keys : bool
        Whether the endpoints ensure that requests with the same idempotency key run
        at most once.
    answers_status : bool
        Whether endpoints can be asked for the outcome of an idempotency key.
    """

    name: PoolName
    kind: PoolKind
    endpoints: list[EndpointSpec]
    model: ModelName = ModelName("")
    layer_count: int = 0
    accelerators: dict[str, Accelerator] = attrs.field(factory=dict)
    links: list[Link] = attrs.field(factory=list)
    checks_fencing: bool = False
    checks_idempotency_keys: bool = False
    answers_status: bool = False
