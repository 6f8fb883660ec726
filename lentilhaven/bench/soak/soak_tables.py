"""Manifests and replicas of a soak test."""

from collections.abc import Callable
from typing import Any

from lentilhaven.standins.platform import FakeReplica
from lentilhaven.standins.platform.sample_files import (
    engine_entry,
    routes_of_each_kind,
    slow_route,
)

#: API keys by workspace.
API_KEYS = {"depot": "key-of-depot", "yard": "key-of-yard"}

#: Number of consecutive manifests that contain the route of a version.
VERSIONS_PER_ROUTE = 2

#: Idle timeouts of callers' connections, of which each manifest has one, and the
#: smallest, in seconds.
IDLE_TIMEOUTS = (30.0, 2.0, 5.0)
MIN_IDLE_TIMEOUT = min(IDLE_TIMEOUTS)

#: Seconds within which all gateways must use a new manifest, and seconds after which a
#: leaving replica gets no more requests, as set in the settings files.
CONFIG_APPLY, DRAIN_TIMEOUT = 2.0, 2.0


def soak_manifest(version: int) -> dict[str, Any]:
    """
    Return a manifest with a route of each kind and a route for each recent version.

    The services, their limits and the limits of callers differ between versions.

    The route of a version is added by its own manifest and dropped after
    `VERSIONS_PER_ROUTE` manifests, so that the soak test can check that gateways add
    and remove routes.
    """
    oldest = max(1, version - VERSIONS_PER_ROUTE + 1)
    # `patient_route` sets time limits suited to processes on a busy machine.
    version_routes = [
        slow_route(f"v{it}", "safe", "stock") for it in range(oldest, version + 1)
    ]
    return {
        "version": version,
        "routes": [
            *routes_of_each_kind(slow_route),
            *version_routes,
        ],
        "services": [
            {"name": "gen", "engine": soak_engine(), "max_connections": 200},
            {
                "name": "stock",
                "health_path": "/healthz",
                "max_connections": 200 - 10 * (version % 3),
            },
            # A service without replicas that only some versions have.
            *[{"name": "spare", "max_connections": 10}] * (version % 2),
        ],
        "limits": {
            "max_body_bytes": 1_000_000 - 1000 * (version % 4),
            "idle_timeout_ms": int(IDLE_TIMEOUTS[version % len(IDLE_TIMEOUTS)] * 1000),
        },
        "tenants": [
            {"name": name, "api_keys": [key]} for name, key in sorted(API_KEYS.items())
        ],
    }


def soak_engine() -> dict[str, Any]:
    """Return a manifest's engine entry: room for many streams, and fast loading."""
    return engine_entry(
        slots=32,
        kv_capacity_tokens=4000,
        models=[{"name": "lentil-70", "pace": 1.0, "load_s": 1.0}],
        kinds=[{"name": "small", "mb": 8_000.0, "pace": 1.0, "read_x": 1.0}],
    )


def soak_replicas(address: Callable[[int], str]) -> list[FakeReplica]:
    """
    Return three plain replicas and six engines; the engines start without layers.

    Parameters
    ----------
    address : callable
        Returns the IP address of a replica, given its number.
    """
    plain = [
        FakeReplica(f"i-stock-{it}", "stock", address(it), data_centre=f"dc-{letter}")
        for it, letter in enumerate("abc")
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
