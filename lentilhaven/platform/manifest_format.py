"""Decoding of the manifest that the operator writes."""

from typing import Any

from lentilhaven.core.json_numbers import to_integer, to_number
from lentilhaven.fleet.engine_spec import AcceleratorType, EngineSpec
from lentilhaven.fleet.manifest import Manifest, RequestLimits, Workspace
from lentilhaven.fleet.route_rule import RouteKind, RouteRule
from lentilhaven.fleet.service_spec import ServiceSpec


def read_version(value: Any) -> int | None:
    """
    Return the version of a manifest without decoding the rest.

    Returns None if there is no valid version.
    """
    version = value.get("version") if isinstance(value, dict) else None
    if isinstance(version, bool) or not isinstance(version, int):
        return None
    return version


def decode_manifest(value: dict[str, Any]) -> Manifest:
    """
    Decode a manifest.

    Parameters
    ----------
    value : dict
        Content of the object ``config/main``, which the store has validated.

    Raises
    ------
    KeyError, TypeError, ValueError, OverflowError
        If a required field is missing or has the wrong type, or a number is not finite.
    """
    routes = [decode_route(route) for route in value["routes"]]
    services = [decode_service(service) for service in value["services"]]
    return Manifest(
        version=to_integer(value["version"]),
        routes={(route.host.lower(), route.path_prefix): route for route in routes},
        services={service.name: service for service in services},
        workspaces=decode_workspaces(value.get("tenants")),
        limits=decode_limits(value.get("limits") or {}),
    )


def decode_route(value: dict[str, Any]) -> RouteRule:
    """Decode one route."""
    split = value.get("traffic_split")
    services = (
        tuple((part["service"], to_number(part["weight"])) for part in split)
        if split
        else ((value["service"], 1.0),)
    )
    timeout = to_number(value["timeout_ms"]) / 1000.0
    return RouteRule(
        name=value["name"],
        host=value["host"],
        path_prefix=value["path_prefix"],
        kind=RouteKind(value["kind"]),
        services=services,
        timeout=timeout,
        target_latency=to_number(value.get("target_latency_ms") or timeout * 1000)
        / 1000.0,
        attempts=max(1, to_integer(value.get("attempts") or 1)),
        priority=to_integer(value.get("priority") or 0),
        anonymous=bool(value.get("anonymous")),
        resumable=bool(value.get("resumable")),
        gap_target=to_number(value.get("gap_target_ms") or 0.0) / 1000.0,
    )


def decode_service(value: dict[str, Any]) -> ServiceSpec:
    """Decode one service."""
    engine = value.get("engine")
    return ServiceSpec(
        name=value["name"],
        health_path=value.get("health_path") or "/",
        max_connections=to_integer(value.get("max_connections") or 100),
        engine=decode_engine(engine) if engine else None,
    )


def decode_engine(value: dict[str, Any]) -> EngineSpec:
    """Decode the specification of a service's engines."""
    model = value["models"][0]
    pace = to_number(model.get("pace") or 1.0)
    usual = value.get("usual") or {}
    kinds = [
        AcceleratorType(
            kind["name"],
            to_number(kind["mb"]),
            to_number(kind.get("pace") or 1.0),
            to_number(kind.get("read_x") or 1.0),
        )
        for kind in value.get("kinds") or []
    ]
    return EngineSpec(
        model=model["name"],
        layers=to_integer(value.get("layers") or 0),
        layer_mb=to_number(value.get("layer_mb") or 0.0),
        kv_bytes_per_token=to_number(value.get("kv_bytes") or 0.0),
        cards={kind.name: kind for kind in kinds},
        step_ms=to_number(value.get("step_ms") or 1.0) * pace,
        step_ms_per_sequence=to_number(value.get("per_seq_ms") or 0.0),
        step_ms_per_1k_tokens=to_number(value.get("context_per_k") or 0.0),
        prefill_tokens_per_s=to_number(value.get("read_per_s") or 1e6),
        load_s=to_number(model.get("load_s") or 0.0),
        max_full_speed_loads=to_integer(value.get("loads_at_once") or 0),
        activation_bytes=to_number(value.get("activation_bytes") or 0.0),
        link_mbps=to_number(value.get("link_mbps") or 0.0),
        data_centre_link_mbps=to_number(value.get("pipe_mbps") or 0.0),
        mean_prompt_tokens=to_number(usual.get("prompt") or 0.0),
        mean_output_tokens=to_number(usual.get("answer") or 0.0),
        tokens_per_step=to_integer(value.get("stride") or 1),
        report_lag_ms=to_number(value.get("report_lag_ms") or 0.0),
        mean_kv_tokens=to_number(value.get("kv_capacity_tokens") or 0.0),
    )


def decode_workspaces(
    value: list[dict[str, Any]] | None,
) -> dict[str, Workspace] | None:
    """Return the workspaces by API key, or None if requests need no key."""
    if value is None:
        return None
    workspaces = {}
    for entry in value:
        priority = entry.get("priority")
        workspace = Workspace(
            entry["name"], None if priority is None else to_integer(priority)
        )
        for key in entry.get("api_keys") or []:
            workspaces[key] = workspace
    return workspaces


def decode_limits(value: dict[str, Any]) -> RequestLimits:
    """Decode the limits on requests, with defaults for missing ones."""
    defaults = RequestLimits()
    return RequestLimits(
        header_bytes=to_integer(value.get("max_header_bytes") or defaults.header_bytes),
        body_bytes=to_integer(value.get("max_body_bytes") or defaults.body_bytes),
        header_timeout=to_seconds(
            value.get("header_timeout_ms"), defaults.header_timeout
        ),
        idle_timeout=to_seconds(value.get("idle_timeout_ms"), defaults.idle_timeout),
    )


def to_seconds(milliseconds: Any, default: float) -> float:
    """Convert milliseconds to seconds, or return the default if there are none."""
    return to_number(milliseconds) / 1000.0 if milliseconds else default
