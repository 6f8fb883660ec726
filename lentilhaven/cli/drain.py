"""The command ``drain``."""

import uuid

import attrs
from expression import Error, Ok, Result

from lentilhaven.cli.apply import finish_edit
from lentilhaven.cli.common_options import DEFAULT_OPTIONS, CommonParameter
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
    common: CommonParameter = DEFAULT_OPTIONS,
) -> int:
    """
    Take a VM or an endpoint out of service without interrupting requests.

    A VM's router refuses new requests, finishes those in flight and exits.  An
    endpoint is marked as leaving in the tables and gets no new requests.

    Parameters
    ----------
    name
        Id of a VM or an endpoint.
    undo
        Return an endpoint to service; a VM can't be returned.
    author
        Name to record as the author of the edit.
    wait
        Wait until every VM uses the new version of the tables; ignored for a VM.
    timeout
        Maximum time to wait, in seconds.
    """

    async def run(connection: Connection) -> int:
        vms = {vm.id: vm for vm in await connection.list_vms()}
        listed_vm = vms.get(name)  # type: ignore[call-overload]
        if listed_vm is not None and not undo:
            unwrap(await connection.request(listed_vm, "router", "/drain", {}))
            print(f"the router of {name} drains")
            return ExitCode.OK
        outcome = await edit_tables(
            connection.store,
            lambda tables: mark_leaving(tables, name, not undo),
            uuid.uuid4().hex,
            author,
        )
        return await finish_edit(connection, outcome, wait, timeout)

    return run_command(common, run)


def mark_leaving(tables: Tables, name: str, leaving: bool) -> Result[Tables, Failure]:
    """
    Set or clear the leaving mark of one endpoint in the tables.

    Parameters
    ----------
    tables : Tables
        Tables to start from; they are not modified.
    name : str
        Id of the endpoint.
    leaving : bool
        New value of the mark.

    Returns
    -------
    Result
        The changed tables, or a failure if no endpoint has this id.
    """
    endpoint_ids = {spec.id for pool in tables.pools for spec in pool.endpoints}
    if name not in endpoint_ids:
        detail = f"no VM and no endpoint is called {name!r}"
        return Error(Failure(Step.PARSE, "", "unknown-name", detail))
    pools = [mark_leaving_in_pool(pool, name, leaving) for pool in tables.pools]
    return Ok(attrs.evolve(tables, pools=pools))


def mark_leaving_in_pool(pool: Pool, name: str, leaving: bool) -> Pool:
    """Set or clear the leaving mark of one endpoint if the pool has it."""
    endpoints = [
        attrs.evolve(spec, leaving=leaving) if spec.id == name else spec
        for spec in pool.endpoints
    ]
    return attrs.evolve(pool, endpoints=endpoints)
