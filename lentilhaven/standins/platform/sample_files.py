"""Sample settings files, manifests and requests in the format of the platform."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

HOST = "depot.example"

#: Headers of the parts of a prompt and, in lower case, of a replica's signature.
PROMPT_HEADER = "Prompt-Prefix"
SIGNATURE_FIELD = "replica-signature"


def settings_file(
    number: int, host: str, data_centre: str, seeds: Sequence[str], store: str
) -> dict[str, Any]:
    """
    Return the settings file of a gateway.

    Parameters
    ----------
    number : int
        Index of the gateway, from 0.
    host, data_centre : str
        IP address and data centre of the gateway.
    seeds : sequence of str
        IP addresses of gateways to join through.
    store : str
        Address of the store, as ``IP:PORT``.
    """
    return {
        "node_name": f"front-{data_centre}-{number + 1}",
        "ip_address": host,
        "zone": data_centre,
        "listen_addrs": {
            "front": f"{host}:7000",
            "ready": f"{host}:7001",
            "control": f"{host}:7002",
        },
        "internal_ports": [7100, 7110],
        "seeds": [f"{seed}:7002" for seed in seeds],
        "limits": {"max_fds": 4100, "memory_mb": 200},
        "bounds": {
            "drain_timeout_ms": 2000,
            "grace_s": 8,
            "config_apply_ms": 2000,
            "budget_window_s": 10,
            "retry_budget_ratio": 0.2,
            "retry_budget_slack": 200,
            "stall_ms": 3000,
            "require_fencing": True,
        },
        "platform": {"address": store, "writes_per_s": 400},
    }


def set_retry_slack(settings: dict[str, Any], slack: int) -> None:
    """Set the number of retries allowed on top of a fraction of the requests."""
    settings["bounds"]["retry_budget_slack"] = slack


def engine_entry(**other: Any) -> dict[str, Any]:
    """
    Return the engine section of a manifest: 8 layers, two accelerator types.

    Fields in `other` are added or replace those of the sample.
    """
    return {
        "slots": 8,
        "kv_capacity_tokens": 2000,
        "kv_bytes": 800_000,
        "stride": 4,
        "models": [{"name": "lentil-70", "pace": 1.0, "load_s": 4.0}],
        "step_ms": 4.0,
        "per_seq_ms": 0.01,
        "context_per_k": 0.01,
        "read_per_s": 100_000.0,
        "loads_at_once": 6,
        "usual": {"prompt": 100, "answer": 40},
        "layers": 8,
        "layer_mb": 1000.0,
        "activation_bytes": 1000,
        "link_mbps": 100_000.0,
        "pipe_mbps": 10_000.0,
        "kinds": [
            {"name": "large", "mb": 12_000.0, "pace": 1.0, "read_x": 1.0},
            {"name": "small", "mb": 6_000.0, "pace": 3.0, "read_x": 2.0},
        ],
        **other,
    }


def route_entry(name: str, kind: str, service: str, **other: Any) -> dict[str, Any]:
    """
    Return a route with the path prefix ``/NAME/``.

    Fields in `other` are added or replace those of the sample.

    Parameters
    ----------
    name : str
        Name of the route.
    kind : str
        Kind of requests: ``streaming``, ``safe`` or ``unsafe``.
    service : str
        Name of the service to which the route leads.
    """
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 20_000 if kind == "streaming" else 800,
        "target_latency_ms": 500 if kind == "streaming" else 100,
        "priority": 1,
        "service": service,
        "attempts": 1 if kind == "unsafe" else 2,
        **other,
    }


def slow_route(name: str, kind: str, service: str, **other: Any) -> dict[str, Any]:
    """Return a route with time limits suited to processes on a busy machine."""
    is_streaming = kind == "streaming"
    times = {
        "timeout_ms": 8000 if is_streaming else 1500,
        "target_latency_ms": 500 if is_streaming else 150,
    }
    return route_entry(name, kind, service, **times, **other)


def routes_of_each_kind(
    make_route: Callable[..., dict[str, Any]] = route_entry,
) -> list[dict[str, Any]]:
    """
    Return a route of each kind to the services ``gen`` and ``stock``.

    Parameters
    ----------
    make_route : callable
        Function that creates a route: `route_entry` or `slow_route`.
    """
    return [
        make_route("draft", "streaming", "gen", resumable=True),
        make_route("once", "streaming", "gen"),
        make_route("post", "unsafe", "stock"),
        make_route("look", "safe", "stock"),
    ]


def request_headers(
    request_id: str, key: str, patience: float, output: int = 0
) -> dict[str, str]:
    """
    Return the headers of a request from a caller.

    Parameters
    ----------
    request_id, key : str
        Id of the attempt, and API key of the caller.
    patience : float
        Time for which the caller waits for the response, in seconds.
    output : int
        Number of tokens to generate; 0 for requests without a stream.  The prompt is
        given as 100 tokens.
    """
    fields = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(int(patience * 1000)),
        "Authorization": f"Bearer {key}",
    }
    if output:
        fields |= {"Token-Count": f"100,{output}", "Length-Hint": str(output)}
    return fields


def read_headers(fields: Mapping[str, str]) -> tuple[str, float]:
    """
    Return the values from the headers of a response that callers need.

    Returns
    -------
    tuple of (str, float)
        Signature of the replica, empty if there is none, and time to wait before a
        retry, in seconds, 0 if not given.
    """
    signature = fields.get("Replica-Signature", "")
    return signature, float(fields.get("Retry-After", "0"))
