"""Validation of one pool."""

from collections.abc import Iterator
from urllib.parse import urlsplit

import attrs

from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.numbers import find_number_problems
from lentilhaven.tables.pool import Pool, PoolKind


def find_pool_problems(path: str, pool: Pool) -> Iterator[str]:
    """
    Yield the problems of one pool.

    Parameters
    ----------
    path : str
        Path of the pool in the document.
    pool : Pool
        Pool to check.
    """
    for index, spec in enumerate(pool.endpoints):
        yield from find_endpoint_problems(f"{path}.endpoints[{index}]", spec)
    if pool.kind is PoolKind.SERVICE:
        yield from find_service_problems(path, pool)
        return
    if not pool.model:
        yield f"{path}.model: required in a pool of engines"
    yield from find_number_problems(f"{path}.layer_count", pool.layer_count, at_least=1)
    yield from find_accelerator_problems(path, pool)
    yield from find_link_problems(path, pool)
    for index, spec in enumerate(pool.endpoints):
        yield from find_engine_problems(f"{path}.endpoints[{index}]", spec, pool)


def find_endpoint_problems(path: str, spec: EndpointSpec) -> Iterator[str]:
    """Yield the problems of an endpoint that do not depend on the kind of its pool."""
    if not spec.data_centre:
        yield f"{path}.data_centre: must not be empty"
    try:
        url = urlsplit(spec.url)
        is_valid = url.scheme in ("http", "https") and bool(url.hostname)
        is_valid = is_valid and (url.port is None or url.port > 0)
    except ValueError:
        is_valid = False
    if not is_valid:
        yield f"{path}.url: must be an absolute HTTP URL, not {spec.url!r}"
    elif spec.url.endswith("/"):
        yield f"{path}.url: must not end with '/'"


def find_service_problems(path: str, pool: Pool) -> Iterator[str]:
    """Yield a problem for each value that only a pool of engines may have."""
    if pool.model or pool.layer_count:
        yield f"{path}: a pool of plain services must not have a model or layers"
    for index, spec in enumerate(pool.endpoints):
        if spec.layers is not None or spec.version or spec.accelerator:
            endpoint_path = f"{path}.endpoints[{index}]"
            yield (
                f"{endpoint_path}: a plain service must not have layers, a version or "
                "an accelerator"
            )


def find_accelerator_problems(path: str, pool: Pool) -> Iterator[str]:
    """Yield the problems of a pool's accelerators."""
    for name, accelerator in pool.accelerators.items():
        for field, value in attrs.asdict(accelerator).items():
            field_path = f"{path}.accelerators[{name!r}].{field}"
            if field == "step_overhead":
                yield from find_number_problems(field_path, value, at_least=0)
            else:
                yield from find_number_problems(field_path, value, above=0)


def find_link_problems(path: str, pool: Pool) -> Iterator[str]:
    """Yield the problems of a pool's links."""
    seen = set()
    for index, link in enumerate(pool.links):
        link_path = f"{path}.links[{index}]"
        yield from find_number_problems(
            f"{link_path}.latency", link.latency, at_least=0
        )
        yield from find_number_problems(f"{link_path}.rate", link.rate, above=0)
        ends = (link.source, link.target)
        if ends in seen:
            yield (
                f"{link_path}: the link {link.source} to {link.target} is defined twice"
            )
        seen.add(ends)


def find_engine_problems(path: str, spec: EndpointSpec, pool: Pool) -> Iterator[str]:
    """Yield the problems of an endpoint in a pool of engines."""
    if spec.layers is None:
        yield f"{path}.layers: required in a pool of engines"
    elif spec.layers.stop > pool.layer_count:
        yield f"{path}.layers: ends after layer {pool.layer_count}"
    if not spec.version:
        yield f"{path}.version: required in a pool of engines"
    accelerator = pool.accelerators.get(spec.accelerator)
    if spec.accelerator and accelerator is None:
        yield f"{path}.accelerator: the pool has no accelerator {spec.accelerator!r}"
    if accelerator and spec.layers and spec.layers.size > accelerator.weight_capacity:
        yield (
            f"{path}.layers: {spec.accelerator!r} holds "
            f"{accelerator.weight_capacity} layers"
        )
