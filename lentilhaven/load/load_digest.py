"""Joins the facts of many agents into one picture of all endpoints."""

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

#: Seconds after which a report says nothing any more.
REPORT_LIFE = 20.0


def merge_loads(facts: list[Fact]) -> dict[EndpointId, EndpointLoad]:
    """
    Return the newest knowledge of each endpoint.

    Where two agents differ, the one that has heard the endpoint last is right.

    Parameters
    ----------
    facts : list of Fact
        Facts on the topic of load.
    """
    merged: dict[EndpointId, EndpointLoad] = {}
    for fact in facts:
        for wire in fact.value:
            load = decode_load(wire).aged(fact.age)
            held = merged.get(load.endpoint)
            if held is None or load.heard < held.heard:
                merged[load.endpoint] = load
    return merged


def summarise_pools(
    tables: Tables, facts: list[Fact], place: DataCentre
) -> dict[str, Any]:
    """
    Return the totals of each pool in one data centre, for the others.

    Parameters
    ----------
    tables : Tables
        The tables in force.
    facts : list of Fact
        Facts on the topic of load.
    place : str
        The data centre.

    Returns
    -------
    dict
        By pool: number of endpoints that reported, running, waiting, KV cache
        used and its capacity, and the mean age.
    """
    loads = merge_loads(facts)
    summary: dict[str, Any] = {}
    for pool in tables.pools:
        near = [spec.id for spec in pool.endpoints if spec.data_centre == place]
        known = [loads[it] for it in near if it in loads and loads[it].report]
        if known:
            summary[pool.name] = total_loads(known)
    return summary


def total_loads(loads: list[EndpointLoad]) -> list[float]:
    """Return the totals of some loads that have reports."""
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
    Return what a router is told of every endpoint.

    Parameters
    ----------
    tables : Tables
        The tables in force.
    facts, summaries, leaving : list of Fact
        Facts on the topics of load, of summaries and of leaves.
    """
    loads = merge_loads(facts)
    gone = {it for fact in leaving for it in fact.value["endpoints"]}
    means = mean_reports(summaries)
    views = {}
    for pool in tables.pools:
        for spec in pool.endpoints:
            load = loads.get(spec.id)
            view = view_load(load) if load else view_mean(pool, spec, means)
            if spec.leaving or spec.id in gone:
                view = attrs.evolve(view, state=EndpointState.LEAVING)
            views[spec.id] = view
    return views


def view_load(load: EndpointLoad) -> EndpointView:
    """Return the view of an endpoint that agents of this data centre poll."""
    leaves = load.report is not None and load.report.leaving
    state = EndpointState.LEAVING if leaves else EndpointState.LIVE
    if load.suspect and state is EndpointState.LIVE:
        state = EndpointState.SUSPECT
    report = load.report if load.age <= REPORT_LIFE else None
    return EndpointView(state, report, load.age)


def mean_reports(
    summaries: list[Fact],
) -> dict[tuple[str, str], tuple[list[float], float]]:
    """Return the newest totals by data centre and pool, with their age."""
    newest: dict[tuple[str, str], tuple[list[float], float]] = {}
    for fact in summaries:
        place = fact.value["data_centre"]
        for pool, totals in fact.value["pools"].items():
            age = fact.age + totals[5]
            held = newest.get((place, pool))
            if held is None or age < held[1]:
                newest[place, pool] = (totals, age)
    return newest


def view_mean(pool: Pool, spec: EndpointSpec, means: dict) -> EndpointView:
    """Return the view of an endpoint of another data centre: its pool's mean."""
    totals, age = means.get((spec.data_centre, pool.name), ([0], 0.0))
    if not totals[0] or age > REPORT_LIFE:
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
