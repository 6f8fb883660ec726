"""Connections of the operators' client to the store and the VMs."""

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
from lentilhaven.cli.output import report_failure
from lentilhaven.core.answer_body import read_answer_json
from lentilhaven.core.client_session import open_session
from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.secrets import read_secret
from lentilhaven.core.step import Step
from lentilhaven.core.tls import load_client_context
from lentilhaven.objects.object_client import ObjectClient, open_object_client
from lentilhaven.objects.vm import ListedVm

#: Maximum size of an answer, which may be a whole state dump, in bytes.
MAX_ANSWER_BYTES = 64_000_000

#: Exceptions raised if a VM can't be reached or its response is not JSON.
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@attrs.define
class Connection:
    """
    Connections to the platform's store and the VMs' operators' listeners.

    Attributes
    ----------
    settings : ClientSettings
        Addresses and timeout.
    store : ObjectClient
        The platform's store.
    session : aiohttp.ClientSession
        HTTP session for requests to the VMs.
    """

    settings: ClientSettings
    store: ObjectClient
    session: aiohttp.ClientSession

    async def list_vms(self) -> list[ListedVm]:
        """
        Return the platform's list of VMs, sorted by id.

        Raises
        ------
        FailureError
            If the platform does not answer.
        """
        listed = await self.store.list_vms()
        if listed.is_error():
            raise FailureError(listed.error)
        return sorted(listed.ok, key=lambda vm: vm.id)

    def base_url(self, vm: ListedVm, program: str) -> str:
        """
        Return the base URL of a program's operators' listener.

        Parameters
        ----------
        vm : ListedVm
            VM that the program runs on.
        program : str
            ``"agent"`` or ``"router"``.
        """
        settings = self.settings
        overrides = settings.agent_urls if program == "agent" else settings.router_urls
        if vm.id in overrides:
            return overrides[vm.id]
        port = settings.agent_port if program == "agent" else settings.router_port
        host = urlsplit(vm.address).hostname or ""
        url_host = f"[{host}]" if ":" in host else host
        return f"{'https' if settings.tls else 'http'}://{url_host}:{port}"

    async def request(
        self, vm: ListedVm, program: str, path: str, body: Any = None
    ) -> Result[dict, Failure]:
        """
        Send a request to a program of a VM, as POST if it has a body, else as GET.

        Parameters
        ----------
        vm : ListedVm
            VM that the program runs on.
        program : str
            ``"agent"`` or ``"router"``.
        path : str
            Path of the URL.
        body : Any
            JSON value to send, or None.

        Returns
        -------
        Result
            JSON object of the response, or a failure if there is no valid response
            or its status is 300 or higher.
        """
        url = self.base_url(vm, program) + path
        peer = f"{vm.id} ({program})"
        method = "GET" if body is None else "POST"
        timeout = aiohttp.ClientTimeout(total=self.settings.timeout)
        try:
            async with self.session.request(
                method, url, json=body, timeout=timeout
            ) as response:
                document = await read_answer_json(response, MAX_ANSWER_BYTES)
                if response.status < 300:
                    return Ok(document)
                return Error(failure_from_problem(peer, document))
        except CONNECTION_ERRORS as error:
            detail = f"{url}: {type(error).__name__}: {error}"
            return Error(Failure(Step.CONNECT, peer, "no-answer", detail))

    async def request_all(
        self, vms: list[ListedVm], program: str, path: str
    ) -> dict[str, Result[dict, Failure]]:
        """Send a request to a program of all VMs concurrently; return results by VM."""
        answers = await asyncio.gather(*(self.request(vm, program, path) for vm in vms))
        return {vm.id: it for vm, it in zip(vms, answers, strict=True)}


def failure_from_problem(peer: str, document: Any) -> Failure:
    """
    Convert the problem document of a response to a failure.

    Parameters
    ----------
    peer : str
        Name of the program that sent the response, for the failure.
    document : Any
        JSON value of the response; it need not be a problem document.
    """
    problem = document if isinstance(document, dict) else {}
    kind = str(problem.get("type", "refused")).rpartition(":")[2]
    return Failure(Step.CONNECT, peer, kind, str(problem.get("detail", document)))


@asynccontextmanager
async def open_connection(settings: ClientSettings) -> AsyncIterator[Connection]:
    """
    Open the connections to the store and the VMs, and close them on exit.

    Parameters
    ----------
    settings : ClientSettings
        Addresses, credentials and timeout.

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
        open_session(
            connector=aiohttp.TCPConnector(ssl=vm_tls), headers=headers
        ) as session,
    ):
        yield Connection(settings, store, session)


def unwrap(result: Result) -> Any:
    """Return the value of a result, or raise its failure as `FailureError`."""
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
        Options of the command line.
    command : callable
        Coroutine function that takes the connection and returns the exit code.
    """
    settings = common.read_settings()
    if settings.is_error():
        return report_failure(settings.error, ExitCode.INVALID)

    async def run() -> int:
        async with open_connection(settings.ok) as connection:
            return await command(connection)

    try:
        return asyncio.run(run())
    except FailureError as error:
        invalid_settings = error.failure.step is Step.SETTINGS
        code = ExitCode.INVALID if invalid_settings else ExitCode.FAILED
        return report_failure(error.failure, code)
