"""The command ``drain``."""

import uuid

import attrs
from expression import Error, Ok, Result

from lentilhaven.cli.apply import finish
from lentilhaven.cli.common_options import DEFAULTS, Common
from lentilhaven.cli.connection import Connection, run_command, unwrap
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.distribution.editing import edit_tables
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.tables import Tables


def drain(
    name: str,
    *,
    undo: bool = False,
    author: str = "operator",
    wait: bool = False,
    timeout: float = 30.0,
    common: Common = DEFAULTS,
) -> int:
    """
    Take a VM or an endpoint out of service without cutting anybody off.

    A VM's router refuses new requests, ends those in flight and exits.  An
    endpoint is marked as leaving in the tables, and gets no new work.

    Parameters
    ----------
    name
        A VM or an endpoint.
    undo
        Give an endpoint work again.
    author
        Who makes the edit.
    wait
        Wait until every VM decides on the edit.
    timeout
        Seconds to wait at most.
    """

    async def run(connection: Connection) -> int:
        vms = {vm.id: vm for vm in await connection.list_vms()}
        found = vms.get(name)  # type: ignore[call-overload]
        if found is not None and not undo:
            unwrap(await connection.ask(found, "router", "/drain", {}))
            print(f"the router of {name} drains")
            return ExitCode.OK
        outcome = await edit_tables(
            connection.store,
            lambda tables: mark_leaving(tables, name, not undo),
            uuid.uuid4().hex,
            author,
        )
        return await finish(connection, outcome, wait, timeout)

    return run_command(common, run)


def mark_leaving(tables: Tables, name: str, leaving: bool) -> Result[Tables, Failure]:
    """
    Return tables in which one endpoint leaves, or does so no more.

    Parameters
    ----------
    tables : Tables
        The tables in force.
    name : str
        The endpoint.
    leaving : bool
        Whether it leaves.
    """
    known = {spec.id for pool in tables.pools for spec in pool.endpoints}
    if name not in known:
        detail = f"no VM and no endpoint is called {name!r}"
        return Error(Failure(Step.PARSE, "", "unknown-name", detail))
    pools = [mark_in_pool(pool, name, leaving) for pool in tables.pools]
    return Ok(attrs.evolve(tables, pools=pools))


def mark_in_pool(pool: Pool, name: str, leaving: bool) -> Pool:
    """Return a pool in which one endpoint, if it is there, is marked."""
    endpoints = [
        attrs.evolve(spec, leaving=leaving) if spec.id == name else spec
        for spec in pool.endpoints
    ]
    return attrs.evolve(pool, endpoints=endpoints)
