"""Status, state dump and metrics of the router, for operators."""

from collections import Counter
from typing import Any

from lentilhaven.control.view import EndpointState
from lentilhaven.core.converter import to_document
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.router.explanation import explain_request
from lentilhaven.router.router import Router
from lentilhaven.serving.metrics import Metrics
from lentilhaven.serving.operators_app import OperatorCallbacks

#: Maximum number of endpoints of a pool that the status lists as not live.
MAX_NAMES_LISTED = 20


def operator_source(router: Router, metrics: Metrics, drain: Any) -> OperatorCallbacks:
    """
    Return the data source of a router's operators' listener.

    Parameters
    ----------
    router : Router
        Router to report on.
    metrics : Metrics
        Instruments of the router.
    drain : callable
        Begins a graceful shutdown.
    """
    return OperatorCallbacks(
        read_status=lambda: router_status(router),
        read_state=lambda: router_state(router),
        drain=drain,
        metrics=metrics,
        explain=lambda document: explain_request(router, document),
    )


def router_status(router: Router) -> dict[str, Any]:
    """
    Return the status summary of a router.

    Parameters
    ----------
    router : Router
        Router to report on.
    """
    return {
        "role": "router",
        "vm": router.settings.vm,
        "data_centre": router.settings.data_centre,
        "tables_version": router.view.tables.version,
        "ready": router.ready,
        "leaving": router.leaving,
        "draining": router.draining,
        "in_flight": router.in_flight,
        "live_vms": list(router.view.live_vms),
        "pools": [pool_status(router, pool) for pool in router.view.tables.pools],
        "counters": dict(router.counters),
        "unsettled_calls": len(router.settler.tasks),
        "settlements_given_up": router.settler.given_up,
        "violations": sum(VIOLATIONS.values()),
    }


def pool_status(router: Router, pool) -> dict[str, Any]:
    """Return the number of endpoints of a pool by state, and their load."""
    states: Counter[str] = Counter()
    running = waiting = reported = 0
    ages, not_live = [], []
    for spec in pool.endpoints:
        view = router.view.endpoints.get(spec.id)
        states[view.state.value if view else "live"] += 1
        if view is not None and view.state is not EndpointState.LIVE:
            not_live.append(spec.id)
        if view is not None and view.report is not None:
            reported += 1
            running += view.report.running
            waiting += view.report.waiting
            ages.append(view.age)
    return {
        "name": pool.name,
        "kind": pool.kind.value,
        "model": pool.model,
        "endpoints": dict(sorted(states.items())),
        "not_live": sorted(not_live)[:MAX_NAMES_LISTED],
        "running": running,
        "waiting": waiting,
        "reporting": reported,
        "oldest_report": max(ages, default=0.0),
        "own_load": sum(router.own_load[spec.id] for spec in pool.endpoints),
    }


def router_state(router: Router) -> dict[str, Any]:
    """
    Return the state dump of a router, with all inputs of its routing decisions.

    Parameters
    ----------
    router : Router
        Router to report on.
    """
    view = router.view
    return router_status(router) | {
        "settings": to_document(router.settings),
        "at": router.clock.wall(),
        "view_sequence": view.sequence,
        "routes": to_document(view.tables.routes),
        "pool_tables": to_document(view.tables.pools),
        "workspace_count": len(view.tables.workspaces),
        "endpoints": to_document(view.endpoints),
        "own_load": {name: load for name, load in router.own_load.items() if load},
        "invariant_violations": dict(VIOLATIONS),
        "decisions": to_document(list(router.decisions)),
    }


def register_router_metrics(router: Router, metrics: Metrics) -> None:
    """
    Register the instruments whose values are read from the router at each scrape.

    Parameters
    ----------
    router : Router
        Router to measure.
    metrics : Metrics
        Registry of the instruments.
    """
    metrics.observe_gauge(
        "http.server.active_requests",
        "{request}",
        "Requests of callers in flight.",
        lambda: router.in_flight,
    )
    metrics.observe_gauge(
        "lentilhaven.tables.version",
        "1",
        "Version of the tables in force.",
        lambda: router.view.tables.version,
    )
    metrics.observe_gauge(
        "lentilhaven.ready",
        "1",
        "Whether the balancer should send new requests here.",
        lambda: float(router.ready),
    )
    metrics.observe_counts(
        "lentilhaven.router.events",
        "lentilhaven.event",
        "Events of the data path by name.",
        lambda: router.counters,
    )
    metrics.observe_counts(
        "lentilhaven.invariant.violations",
        "lentilhaven.invariant",
        "Broken invariants by name.",
        lambda: VIOLATIONS,
    )
