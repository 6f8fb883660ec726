"""Checks of one pool."""

from collections.abc import Iterator
from urllib.parse import urlsplit

import attrs

from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.numbers import find_bad_number
from lentilhaven.tables.pool import Pool, PoolKind


def find_pool_problems(path: str, pool: Pool) -> Iterator[str]:
    """
    Yield the problems of one pool.

    Parameters
    ----------
    path : str
        Path of the pool in the document.
    pool : Pool
        The pool.
    """
    for index, spec in enumerate(pool.endpoints):
        yield from find_endpoint_problems(f"{path}.endpoints[{index}]", spec)
    if pool.kind is PoolKind.SERVICE:
        yield from find_service_problems(path, pool)
        return
    if not pool.model:
        yield f"{path}.model: required in a pool of engines"
    yield from find_bad_number(f"{path}.layer_count", pool.layer_count, least=1)
    yield from find_accelerator_problems(path, pool)
    yield from find_link_problems(path, pool)
    for index, spec in enumerate(pool.endpoints):
        yield from find_engine_problems(f"{path}.endpoints[{index}]", spec, pool)


def find_endpoint_problems(path: str, spec: EndpointSpec) -> Iterator[str]:
    """Yield the problems of an endpoint of either kind."""
    if not spec.data_centre:
        yield f"{path}.data_centre: must not be empty"
    try:
        parts = urlsplit(spec.url)
        good = parts.scheme in ("http", "https") and bool(parts.hostname)
        good = good and (parts.port is None or parts.port > 0)
    except ValueError:
        good = False
    if not good:
        yield f"{path}.url: must be an absolute HTTP URL, not {spec.url!r}"
    elif spec.url.endswith("/"):
        yield f"{path}.url: must not end with '/'"


def find_service_problems(path: str, pool: Pool) -> Iterator[str]:
    """Yield what only a pool of engines may have."""
    if pool.model or pool.layer_count:
        yield f"{path}: a pool of plain services has no model and no layers"
    for index, spec in enumerate(pool.endpoints):
        if spec.layers is not None or spec.version or spec.accelerator:
            place = f"{path}.endpoints[{index}]"
            yield f"{place}: a plain service has no layers, version or accelerator"


def find_accelerator_problems(path: str, pool: Pool) -> Iterator[str]:
    """Yield the problems of the rates of a pool's accelerators."""
    for name, accelerator in pool.accelerators.items():
        for field, value in attrs.asdict(accelerator).items():
            place = f"{path}.accelerators[{name!r}].{field}"
            if field == "step_overhead":
                yield from find_bad_number(place, value, least=0)
            else:
                yield from find_bad_number(place, value, above=0)


def find_link_problems(path: str, pool: Pool) -> Iterator[str]:
    """Yield the problems of a pool's links."""
    seen = set()
    for index, link in enumerate(pool.links):
        place = f"{path}.links[{index}]"
        yield from find_bad_number(f"{place}.latency", link.latency, least=0)
        yield from find_bad_number(f"{place}.rate", link.rate, above=0)
        ends = (link.source, link.target)
        if ends in seen:
            yield f"{place}: the link {link.source} to {link.target} stands twice"
        seen.add(ends)


def find_engine_problems(path: str, spec: EndpointSpec, pool: Pool) -> Iterator[str]:
    """Yield the problems of an engine."""
    if spec.layers is None:
        yield f"{path}.layers: required in a pool of engines"
    elif spec.layers.stop > pool.layer_count:
        yield f"{path}.layers: ends after layer {pool.layer_count}"
    if not spec.version:
        yield f"{path}.version: required in a pool of engines"
    kind = pool.accelerators.get(spec.accelerator)
    if spec.accelerator and kind is None:
        yield f"{path}.accelerator: unknown kind {spec.accelerator!r}"
    if kind and spec.layers and spec.layers.size > kind.weight_capacity:
        yield f"{path}.layers: {spec.accelerator!r} holds {kind.weight_capacity} layers"
