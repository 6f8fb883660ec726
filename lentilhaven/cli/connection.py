"""Connections of the operators' client."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import urlsplit

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.cli.client_settings import ClientSettings
from lentilhaven.cli.common_options import CommonOptions
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import report
from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.secrets import read_secret
from lentilhaven.core.step import Step
from lentilhaven.core.tls import load_client_context
from lentilhaven.objects.object_client import ObjectClient, open_object_client
from lentilhaven.objects.vm import ListedVm

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@attrs.define
class Connection:
    """
    The platform's store, and the operators' listeners of the VMs.

    Attributes
    ----------
    settings : ClientSettings
        Where everything is.
    store : ObjectClient
        The platform's store.
    session : aiohttp.ClientSession
        Connections to the VMs.
    """

    settings: ClientSettings
    store: ObjectClient
    session: aiohttp.ClientSession

    async def list_vms(self) -> list[ListedVm]:
        """
        Return the platform's list of VMs, by name.

        Raises
        ------
        FailureError
            If the platform does not answer.
        """
        listed = await self.store.list_vms()
        if listed.is_error():
            raise FailureError(listed.error)
        return sorted(listed.ok, key=lambda vm: vm.id)

    def url_of(self, vm: ListedVm, program: str) -> str:
        """
        Return the base URL of a program's operators' listener.

        Parameters
        ----------
        vm : ListedVm
            The VM.
        program : str
            ``"agent"`` or ``"router"``.
        """
        settings = self.settings
        special = settings.agent_urls if program == "agent" else settings.router_urls
        if vm.id in special:
            return special[vm.id]
        port = settings.agent_port if program == "agent" else settings.router_port
        host = urlsplit(vm.address).hostname or ""
        name = f"[{host}]" if ":" in host else host
        return f"{'https' if settings.tls else 'http'}://{name}:{port}"

    async def ask(
        self, vm: ListedVm, program: str, path: str, body: Any = None
    ) -> Result[dict, Failure]:
        """
        Ask a program of a VM, with POST if there is a body.

        Parameters
        ----------
        vm : ListedVm
            The VM.
        program : str
            ``"agent"`` or ``"router"``.
        path : str
            What to ask for.
        body : Any
            JSON to send.
        """
        url = self.url_of(vm, program) + path
        peer = f"{vm.id} ({program})"
        method = "GET" if body is None else "POST"
        limit = aiohttp.ClientTimeout(total=self.settings.timeout)
        try:
            async with self.session.request(
                method, url, json=body, timeout=limit
            ) as response:
                document = await response.json(content_type=None)
                if response.status < 300:
                    return Ok(document)
                return Error(refusal(peer, document))
        except LOST as error:
            detail = f"{url}: {type(error).__name__}: {error}"
            return Error(Failure(Step.CONNECT, peer, "no-answer", detail))

    async def ask_all(
        self, vms: list[ListedVm], program: str, path: str
    ) -> dict[str, Result[dict, Failure]]:
        """Ask a program of every VM at once; return the results by VM."""
        answers = await asyncio.gather(*(self.ask(vm, program, path) for vm in vms))
        return {vm.id: it for vm, it in zip(vms, answers, strict=True)}


def refusal(peer: str, document: Any) -> Failure:
    """Return the failure that a problem document stands for."""
    known = document if isinstance(document, dict) else {}
    kind = str(known.get("type", "refused")).rpartition(":")[2]
    return Failure(Step.CONNECT, peer, kind, str(known.get("detail", document)))


@asynccontextmanager
async def open_connection(settings: ClientSettings) -> AsyncIterator[Connection]:
    """
    Open the connections and close them at the end.

    Parameters
    ----------
    settings : ClientSettings
        Where everything is.

    Raises
    ------
    FailureError
        If a file that the settings name can't be used.
    """
    token = ""
    if settings.token_file:
        token = unwrap(read_secret(settings.token_file, "$.token_file"))
    store_tls = unwrap(load_client_context(settings.store_ca_file, "$.store_ca_file"))
    vm_tls = unwrap(load_client_context(settings.ca_file, "$.ca_file"))
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    async with (
        open_object_client(
            settings.store_url, aiohttp.TCPConnector(ssl=store_tls)
        ) as store,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(ssl=vm_tls), headers=headers
        ) as session,
    ):
        yield Connection(settings, store, session)


def unwrap(result: Result) -> Any:
    """Return the value of a result, or raise its failure."""
    if result.is_error():
        raise FailureError(result.error)
    return result.ok


def run_command(
    common: CommonOptions, command: Callable[[Connection], Awaitable[int]]
) -> int:
    """
    Run a command with open connections and return its exit code.

    Parameters
    ----------
    common : CommonOptions
        Options.
    command : callable
        Coroutine function of the connection.
    """
    settings = common.read_settings()
    if settings.is_error():
        return report(settings.error, ExitCode.INVALID)

    async def run() -> int:
        async with open_connection(settings.ok) as connection:
            return await command(connection)

    try:
        return asyncio.run(run())
    except FailureError as error:
        settings_fault = error.failure.step is Step.SETTINGS
        code = ExitCode.INVALID if settings_fault else ExitCode.FAILED
        return report(error.failure, code)
