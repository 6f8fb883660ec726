"""Settings, manifests and replicas of a soak."""

from collections.abc import Callable, Sequence
from typing import Any

from lentilhaven.standins.platform import FakeReplica

HOST = "depot.example"

#: Keys of the workspaces.
KEYS = {"depot": "key-of-depot", "yard": "key-of-yard"}

#: Manifests for which the route of a manifest stays.
KEPT_ROUTES = 2

#: Seconds in which a manifest must be in force, a leaving replica gets no more
#: requests, and a process must end.
CONFIG_APPLY, DRAIN_TIMEOUT, GRACE = 2.0, 2.0, 8.0


def soak_settings(
    number: int, host: str, seeds: Sequence[str], store: str
) -> dict[str, Any]:
    """Return the settings file of a gateway; they stand in three data centres."""
    data_centre = f"dc-{'abc'[number % 3]}"
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
        "limits": {"max_fds": 1024, "cpu_share": 1.0, "cores": 1},
        "bounds": {
            "drain_timeout_ms": DRAIN_TIMEOUT * 1000,
            "grace_s": GRACE,
            "config_apply_ms": CONFIG_APPLY * 1000,
            "budget_window_s": 10,
            "retry_budget_ratio": 0.2,
            "retry_budget_slack": 200,
            "stall_ms": 3000,
            "require_fencing": True,
        },
        "platform": {"address": store, "writes_per_s": 400, "reads_per_s": 2000},
    }


def soak_route(name: str, kind: str, service: str, **other: Any) -> dict[str, Any]:
    """Return a route at ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 8000 if kind == "streaming" else 1500,
        "target_latency_ms": 500 if kind == "streaming" else 150,
        "priority": 1,
        "service": service,
        "attempts": 1 if kind == "unsafe" else 2,
        **other,
    }


def soak_manifest(version: int) -> dict[str, Any]:
    """Return a manifest with a route of each kind and one of its own."""
    first = max(1, version - KEPT_ROUTES + 1)
    own = [soak_route(f"v{it}", "safe", "stock") for it in range(first, version + 1)]
    return {
        "version": version,
        "routes": [
            soak_route("draft", "streaming", "gen", resumable=True),
            soak_route("once", "streaming", "gen"),
            soak_route("post", "unsafe", "stock"),
            soak_route("look", "safe", "stock"),
            *own,
        ],
        "services": [
            {"name": "gen", "engine": soak_engine(), "max_connections": 200},
            {"name": "stock", "health_path": "/healthz", "max_connections": 200},
        ],
        "limits": {"max_body_bytes": 1_000_000, "idle_timeout_ms": 30_000},
        "tenants": [
            {"name": name, "api_keys": [key]} for name, key in sorted(KEYS.items())
        ],
    }


def soak_engine() -> dict[str, Any]:
    """Return what a manifest says of engines."""
    return {
        "slots": 32,
        "kv_capacity_tokens": 4000,
        "kv_bytes": 800_000,
        "stride": 4,
        "models": [{"name": "lentil-70", "pace": 1.0, "load_s": 1.0}],
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
        "kinds": [{"name": "small", "mb": 8_000.0, "pace": 1.0, "read_x": 1.0}],
    }


def soak_replicas(address: Callable[[int], str]) -> list[FakeReplica]:
    """
    Return three plain replicas and six engines, which start empty.

    Parameters
    ----------
    address : callable
        Returns the IP address of a replica by its number.
    """
    plain = [
        FakeReplica(f"i-stock-{it}", "stock", address(it), data_centre=f"dc-{place}")
        for it, place in enumerate("abc")
    ]
    engines = [
        FakeReplica(
            f"i-gen-{it}",
            "gen",
            address(3 + it),
            data_centre=f"dc-{'abc'[it % 3]}",
            card="small",
            load_time=0.3,
        )
        for it in range(6)
    ]
    return plain + engines
