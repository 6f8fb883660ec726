"""The commands ``explain route``, ``explain bound`` and ``explain request``."""

import json
from pathlib import Path
from typing import Any

import cyclopts

from lentilhaven.cli.common_options import DEFAULT_OPTIONS, CommonParameter
from lentilhaven.cli.connection import Connection, run_command, unwrap
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_json, print_table, report_failure
from lentilhaven.cli.vm_choice import find_vm
from lentilhaven.core.converter import to_document
from lentilhaven.core.failure import Failure
from lentilhaven.core.json_text import load_json
from lentilhaven.core.step import Step
from lentilhaven.distribution.editing import read_current_tables
from lentilhaven.logbook import (
    LogLine,
    RequestDiagnosis,
    diagnose_request,
    read_lines,
)
from lentilhaven.pipelines.bound import Bound, deployment_bounds

explain_app = cyclopts.App(name="explain", help="Say why.")


@explain_app.command
def route(
    request: Path, *, vm: str = "", common: CommonParameter = DEFAULT_OPTIONS
) -> int:
    """
    Print which route, pool and pipeline a request would use, and why.

    The exit code is 1 if the request would not be routed.

    Parameters
    ----------
    request
        JSON file with "workspace", and "model" (and "prompt") for a completion, or
        "service" (and "method" and "path") for a plain service.
    vm
        Id of the VM whose router is asked; the first VM by default.
    """
    try:
        document = load_json(request.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        failure = Failure(Step.PARSE, str(request), "invalid-json", str(error))
        return report_failure(failure, ExitCode.INVALID)

    async def run(connection: Connection) -> int:
        listed_vm = await find_vm(connection, vm)
        explanation = unwrap(
            await connection.request(listed_vm, "router", "/explain", document)
        )
        if common.json:
            print_json(explanation)
        else:
            print_explanation(listed_vm.id, explanation)
        return ExitCode.OK if explanation["route"] else ExitCode.FAILED

    return run_command(common, run)


def print_explanation(vm: str, explanation: dict[str, Any]) -> None:
    """Print how the router of a VM would route a request, as text."""
    print(f"asked the router of {vm}")
    print_table(
        ["ROUTE", "VERDICT"],
        [[it["route"], it["verdict"]] for it in explanation["considered"]],
    )
    if not explanation["route"]:
        print(f"\n{explanation['why']}")
        return
    print(f"\nroute {explanation['route']} -> pool {explanation['pool']}")
    print(f"endpoints: {json.dumps(explanation['endpoints'])}")
    for stage in explanation.get("pipeline") or []:
        print_stage(stage)
    if "usable" in explanation:
        print(f"usable: {', '.join(explanation['usable']) or 'none'}")
    print(f"why: {explanation['why']}")


def print_stage(stage: dict[str, Any]) -> None:
    """Print a stage of a pipeline with its load and its alternatives."""
    report = stage.get("report")
    load = "no report"
    if report:
        load = (
            f"{report['running']} running, {report['waiting']} waiting, "
            f"reported {report['age']:.1f} s ago"
        )
    alternatives = ", ".join(
        f"{key} ({it})" for key, it in stage["alternatives"].items()
    )
    layers = f"layers {stage['start']}-{stage['stop'] - 1}"
    print(f"  {layers}: {stage['endpoint']}: {load}; own load {stage['own_load']}")
    print(f"    alternatives (own load): {alternatives or 'none'}")


@explain_app.command
def bound(pool: str = "", *, common: CommonParameter = DEFAULT_OPTIONS) -> int:
    """
    Print the maximum number of tokens per second of a pool, and what limits it.

    Parameters
    ----------
    pool
        Name of the pool; all pools of engines by default.
    """

    async def run(connection: Connection) -> int:
        _, tables = unwrap(await read_current_tables(connection.store))
        bounds = deployment_bounds(tables)
        chosen = {name: it for name, it in bounds.items() if pool in ("", name)}
        if not chosen:
            detail = f"no pool of engines is called {pool!r}"
            return report_failure(Failure(Step.PARSE, "", "unknown-pool", detail))
        if common.json:
            print_json(to_document(chosen))
            return ExitCode.OK
        for name, it in chosen.items():
            print_bound(name, it)
        return ExitCode.OK

    return run_command(common, run)


def print_bound(name: str, bound: Bound) -> None:
    """Print the bound of a pool and the minimum cut that limits it."""
    print(f"pool {name}: at most {bound.rate:.0f} tokens/s, limited by")
    for group in bound.groups:
        members = ", ".join(group.endpoints[:8])
        more = len(group.endpoints) - 8
        rest = f" and {more} more" if more > 0 else ""
        layers = f"layers {group.key.layers.start}-{group.key.layers.stop - 1}"
        place = f"{layers} in {group.key.data_centre}"
        print(f"  {group.rate:.0f} tokens/s: {place}: {members}{rest}")
    for link in bound.links:
        ends = f"{link.key.source} to {link.key.target}"
        print(f"  {link.rate:.0f} tokens/s: link {ends}")
    if not bound.groups and not bound.links:
        print("  nothing: no endpoint covers some of the layers")


@explain_app.command
def request(id: str, *logs: Path) -> int:
    """
    Print the log lines that concern one request, and the cause of its outcome.

    Parameters
    ----------
    id
        Id of the request.
    logs
        Log files of any number of gateways, with one JSON object per line.
    """
    try:
        log_lines = [
            line
            for path in logs
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines()
        ]
    except OSError as error:
        failure = Failure(Step.PARSE, str(error.filename), "no-log", str(error))
        return report_failure(failure, ExitCode.INVALID)
    diagnosis = diagnose_request(read_lines(log_lines), id)
    print_diagnosis(diagnosis)
    return ExitCode.OK if diagnosis.request_lines else ExitCode.FAILED


def print_diagnosis(diagnosis: RequestDiagnosis) -> None:
    """Print the lines that concern a request, and what follows from them."""
    print(f"request {diagnosis.request} at {diagnosis.vm or 'an unknown gateway'}")
    for line in diagnosis.request_lines:
        print_log_line(line)
    if diagnosis.related_lines:
        print("\nabout its endpoints, by the clocks of those who wrote it:")
    for line in diagnosis.related_lines:
        print_log_line(line)
    if diagnosis.ahead_lines:
        print("\nbefore it in its queue:")
    for line in diagnosis.ahead_lines:
        print_log_line(line, with_request=True)
    if diagnosis.wait:
        print(f"\nwait: {diagnosis.wait}")
    print(f"\ncause: {diagnosis.cause}")
    for item in diagnosis.missing:
        print(f"missing: {item}")


def print_log_line(line: LogLine, with_request: bool = False) -> None:
    """Print a log line without the fields that all lines have."""
    common_fields = {"component", "event", "level", "timestamp", "vm"}
    if not with_request:
        common_fields.add("request")
    rest = {key: it for key, it in line.fields.items() if key not in common_fields}
    time_of_day = str(line.fields.get("timestamp", ""))[11:23]
    print(f"  {time_of_day} {line.vm} {line.event}: {json.dumps(rest)}")
