"""The commands ``explain route``, ``explain bound`` and ``explain request``."""

import json
from pathlib import Path
from typing import Any

import cyclopts

from lentilhaven.cli.common_options import DEFAULTS, Common
from lentilhaven.cli.connection import Connection, run_command, unwrap
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_json, print_table, report
from lentilhaven.cli.vm_choice import find_vm
from lentilhaven.core.converter import to_document
from lentilhaven.core.failure import Failure
from lentilhaven.core.json_text import load_json
from lentilhaven.core.step import Step
from lentilhaven.distribution.editing import read_current
from lentilhaven.logbook import LogLine, read_lines, tell_story
from lentilhaven.pipelines.bound import Bound, deployment_bounds

explain_app = cyclopts.App(name="explain", help="Say why.")


@explain_app.command
def route(request: Path, *, vm: str = "", common: Common = DEFAULTS) -> int:
    """
    Print which route, pool and pipeline would answer a request, and why.

    Parameters
    ----------
    request
        JSON with "workspace", and "model" (and "prompt") for a completion, or
        "service" (and "method" and "path") for a plain service.
    vm
        The VM to ask; the first one if it is left out.
    """
    try:
        document = load_json(request.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        failure = Failure(Step.PARSE, str(request), "invalid-json", str(error))
        return report(failure, ExitCode.INVALID)

    async def run(connection: Connection) -> int:
        found = await find_vm(connection, vm)
        account = unwrap(await connection.ask(found, "router", "/explain", document))
        if common.json:
            print_json(account)
        else:
            print_account(found.id, account)
        return ExitCode.OK if account["route"] else ExitCode.FAILED

    return run_command(common, run)


def print_account(vm: str, account: dict[str, Any]) -> None:
    """Print the account of a request for people."""
    print(f"asked the router of {vm}")
    print_table(
        ["ROUTE", "VERDICT"],
        [[it["route"], it["verdict"]] for it in account["considered"]],
    )
    if not account["route"]:
        print(f"\n{account['why']}")
        return
    print(f"\nroute {account['route']} -> pool {account['pool']}")
    print(f"endpoints: {json.dumps(account['endpoints'])}")
    for stage in account.get("pipeline") or []:
        print_stage(stage)
    if "usable" in account:
        print(f"usable: {', '.join(account['usable']) or 'none'}")
    print(f"why: {account['why']}")


def print_stage(stage: dict[str, Any]) -> None:
    """Print one stage of a pipeline."""
    report = stage.get("report")
    load = "no report"
    if report:
        load = (
            f"{report['running']} running, {report['waiting']} waiting, "
            f"reported {report['age']:.1f} s ago"
        )
    others = ", ".join(f"{key} ({it})" for key, it in stage["alternatives"].items())
    layers = f"layers {stage['start']}-{stage['stop'] - 1}"
    print(f"  {layers}: {stage['endpoint']}: {load}; own load {stage['own_load']}")
    print(f"    alternatives (own load): {others or 'none'}")


@explain_app.command
def bound(pool: str = "", *, common: Common = DEFAULTS) -> int:
    """
    Print the most tokens per second that a pool can generate, and what limits it.

    Parameters
    ----------
    pool
        The pool; all pools of engines if it is left out.
    """

    async def run(connection: Connection) -> int:
        _, tables = unwrap(await read_current(connection.store))
        bounds = deployment_bounds(tables)
        chosen = {name: it for name, it in bounds.items() if pool in ("", name)}
        if not chosen:
            detail = f"no pool of engines is called {pool!r}"
            return report(Failure(Step.PARSE, "", "unknown-pool", detail))
        if common.json:
            print_json(to_document(chosen))
            return ExitCode.OK
        for name, it in chosen.items():
            print_bound(name, it)
        return ExitCode.OK

    return run_command(common, run)


def print_bound(name: str, bound: Bound) -> None:
    """Print a bound and its limiting cut."""
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
    Print what collected logs of gateways tell of one request, and its cause.

    Parameters
    ----------
    id
        The request's id.
    logs
        Files of JSON lines, of any number of gateways.
    """
    try:
        texts = [
            line
            for path in logs
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines()
        ]
    except OSError as error:
        failure = Failure(Step.PARSE, str(error.filename), "no-log", str(error))
        return report(failure, ExitCode.INVALID)
    story = tell_story(read_lines(texts), id)
    print(f"request {story.request} at {story.vm or 'an unknown gateway'}")
    for line in story.own:
        print_line(line)
    if story.beliefs:
        print("\nabout its endpoints, by the clocks of those who wrote it:")
    for line in story.beliefs:
        print_line(line)
    print(f"\ncause: {story.cause}")
    for what in story.missing:
        print(f"missing: {what}")
    return ExitCode.OK if story.own else ExitCode.FAILED


def print_line(line: LogLine) -> None:
    """Print one line of a log, without what all lines say."""
    common = {"component", "event", "level", "timestamp", "request", "vm"}
    rest = {key: it for key, it in line.fields.items() if key not in common}
    when = str(line.fields.get("timestamp", ""))[11:23]
    print(f"  {when} {line.vm} {line.event}: {json.dumps(rest)}")
