"""Merging of the load facts of many agents into one view of all endpoints."""

from typing import Any

import attrs

from lentilhaven.control.view import EndpointState, EndpointView
from lentilhaven.core.ids import DataCentre, EndpointId
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.load.endpoint_load import EndpointLoad, decode_load
from lentilhaven.membership.fact import Fact
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.tables import Tables

#: Age after which a report is ignored, in seconds.
MAX_REPORT_AGE = 20.0


def merge_loads(facts: list[Fact]) -> dict[EndpointId, EndpointLoad]:
    """
    Return the most recent load of each endpoint.

    If two agents report the same endpoint, the load with the most recent response is
    used.

    Parameters
    ----------
    facts : list of Fact
        Facts of `Topic.LOAD`, whose values are lists of encoded loads.
    """
    merged: dict[EndpointId, EndpointLoad] = {}
    for fact in facts:
        for wire in fact.value:
            load = decode_load(wire).aged(fact.age)
            known = merged.get(load.endpoint)
            if known is None or load.silence < known.silence:
                merged[load.endpoint] = load
    return merged


def summarise_pools(
    tables: Tables, facts: list[Fact], data_centre: DataCentre
) -> dict[str, Any]:
    """
    Return the totals of each pool in one data centre, for other data centres.

    Parameters
    ----------
    tables : Tables
        Current tables.
    facts : list of Fact
        Facts of `Topic.LOAD`.
    data_centre : str
        Data centre to summarise.

    Returns
    -------
    dict
        By pool, a list of: number of endpoints with a report, running and waiting
        requests, KV cache in use and KV cache capacity, in layers times tokens, and
        mean age of the reports, in seconds.  Pools without a report are left out.
    """
    loads = merge_loads(facts)
    summary: dict[str, Any] = {}
    for pool in tables.pools:
        local = [spec.id for spec in pool.endpoints if spec.data_centre == data_centre]
        reported = [
            loads[endpoint]
            for endpoint in local
            if endpoint in loads and loads[endpoint].report
        ]
        if reported:
            summary[pool.name] = total_loads(reported)
    return summary


def total_loads(loads: list[EndpointLoad]) -> list[float]:
    """Return the list of totals that `summarise_pools` describes; all have reports."""
    reports = [load.report for load in loads if load.report is not None]
    return [
        len(reports),
        sum(report.running for report in reports),
        sum(report.waiting for report in reports),
        round(sum(report.kv_used for report in reports)),
        round(sum(report.kv_capacity for report in reports)),
        round(sum(load.age for load in loads) / len(loads), 3),
    ]


def view_endpoints(
    tables: Tables, facts: list[Fact], summaries: list[Fact], leaving: list[Fact]
) -> dict[EndpointId, EndpointView]:
    """
    Return the view of every endpoint that an agent sends to its router.

    Parameters
    ----------
    tables : Tables
        Current tables.
    facts, summaries, leaving : list of Fact
        Facts of `Topic.LOAD`, `Topic.SUMMARY` and `Topic.LEAVING`.
    """
    loads = merge_loads(facts)
    leaving_ids = {endpoint for fact in leaving for endpoint in fact.value["endpoints"]}
    totals = newest_totals(summaries)
    views = {}
    for pool in tables.pools:
        for spec in pool.endpoints:
            load = loads.get(spec.id)
            view = (
                view_from_load(load) if load else view_from_totals(pool, spec, totals)
            )
            if spec.leaving or spec.id in leaving_ids:
                view = attrs.evolve(view, state=EndpointState.LEAVING)
            views[spec.id] = view
    return views


def view_from_load(load: EndpointLoad) -> EndpointView:
    """Return the view of an endpoint for which an agent has published a load."""
    is_leaving = load.report is not None and load.report.leaving
    state = EndpointState.LEAVING if is_leaving else EndpointState.LIVE
    if load.suspect and state is EndpointState.LIVE:
        state = EndpointState.SUSPECT
    report = load.report if load.age <= MAX_REPORT_AGE else None
    return EndpointView(state, report, load.age)


def newest_totals(
    summaries: list[Fact],
) -> dict[tuple[str, str], tuple[list[float], float]]:
    """Return the latest totals and their age in seconds, by data centre and pool."""
    newest: dict[tuple[str, str], tuple[list[float], float]] = {}
    for fact in summaries:
        data_centre = fact.value["data_centre"]
        for pool, totals in fact.value["pools"].items():
            # The last total is the mean age of the reports when it was published.
            age = fact.age + totals[5]
            known = newest.get((data_centre, pool))
            if known is None or age < known[1]:
                newest[data_centre, pool] = (totals, age)
    return newest


def view_from_totals(pool: Pool, spec: EndpointSpec, newest: dict) -> EndpointView:
    """
    Return the view of an endpoint without a published load of its own.

    The endpoint is usually in another data centre.  Its report is the mean of its
    pool in its data centre, or None if there are no recent totals.

    Parameters
    ----------
    pool : Pool
        Pool of the endpoint.
    spec : EndpointSpec
        The endpoint.
    newest : dict
        Totals and their age, as `newest_totals` returns them.
    """
    totals, age = newest.get((spec.data_centre, pool.name), ([0], 0.0))
    if not totals[0] or age > MAX_REPORT_AGE:
        return EndpointView(EndpointState.LIVE)
    count = totals[0]
    report = LoadReport(
        spec.id,
        round(totals[1] / count),
        round(totals[2] / count),
        totals[3] / count,
        totals[4] / count,
        spec.version,
        spec.layers,
    )
    return EndpointView(EndpointState.LIVE, report, age)
