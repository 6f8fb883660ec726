"""Pools: which hardware serves a model or a service."""

import enum

import attrs

from lentilhaven.core.ids import ModelName, PoolName
from lentilhaven.tables.accelerator import Accelerator
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.link import Link


class PoolKind(enum.Enum):
    """What the endpoints of a pool are."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class Pool:
    """
    A set of endpoints that serve one model, or one plain service.

    Attributes
    ----------
    name : str
        Name that routes refer to.
    kind : PoolKind
        Model engines or plain services.
    endpoints : list of EndpointSpec
        The members.
    model : str
        Model that engines hold; empty for services.
    layer_count : int
        Number of the model's layers; 0 for services.
    accelerators : dict
        `Accelerator` by the name that endpoints use.
    links : list of Link
        Links between data centres; a missing link is not used.
    checks_fencing : bool
        Whether endpoints refuse orders with an old fencing number.
    checks_idempotency_keys : bool
        Whether endpoints themselves run a key at most once.
    answers_status : bool
        Whether endpoints can be asked what became of a key.
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
