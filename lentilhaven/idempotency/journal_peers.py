"""The client that agents use to forward claims and settlements to each other."""

from collections.abc import Callable
from typing import Any

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.control.claim import ClaimAnswer, ClaimRequest, Settlement
from lentilhaven.core.answer_body import read_answer_json
from lentilhaven.core.converter import CONVERTER, to_document
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import VmId
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.idempotency.operation import Answer, SettlementAnswer
from lentilhaven.objects.vm import ListedVm

#: Timeout of a forwarded message, in seconds.
FORWARD_TIMEOUT = 1.5

#: Timeout for opening a connection to another agent, in seconds.
CONNECT_TIMEOUT = 0.3

#: Maximum size of an answer, which may hold a recorded response, in bytes.
MAX_ANSWER_BYTES = 1_000_000

#: Errors of a request to another agent; a malformed JSON body raises ValueError.
TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@attrs.define
class JournalPeers:
    """
    Client for the agents of the other VMs.

    Attributes
    ----------
    session : aiohttp.ClientSession
        HTTP session; owned by the caller.
    token : str
        The cluster token.
    list_live : callable
        Returns the VMs believed to be live.
    """

    session: aiohttp.ClientSession
    token: str
    list_live: Callable[[], list[ListedVm]]

    def live_vms(self) -> list[VmId]:
        """Return the VMs that are believed to be live, sorted by name."""
        return sorted(vm.id for vm in self.list_live())

    def address(self, vm: VmId) -> str:
        """
        Return the base URL of a VM's agent.

        Raises
        ------
        KeyError
            If the VM is not believed to be live.
        """
        for listed in self.list_live():
            if listed.id == vm:
                return listed.address
        raise KeyError(vm)

    async def forward(
        self, vm: VmId, message: ClaimRequest | Settlement
    ) -> Result[Answer, Failure]:
        """
        Ask another agent to commit a message.

        Parameters
        ----------
        vm : str
            The VM of the other agent.
        message : ClaimRequest or Settlement
            The claim or settlement.

        Returns
        -------
        Result
            The other agent's answer, or a failure whose `ran` is ``NO`` if the
            message was certainly not sent.
        """
        is_claim = isinstance(message, ClaimRequest)
        path = "/journal/claims" if is_claim else "/journal/settlements"
        limit = aiohttp.ClientTimeout(
            total=FORWARD_TIMEOUT, sock_connect=CONNECT_TIMEOUT
        )
        headers = {"Authorization": f"Bearer {self.token}"}
        try:
            url = self.address(vm) + path
            async with self.session.post(
                url, json=to_document(message), timeout=limit, headers=headers
            ) as response:
                response.raise_for_status()
                body = await read_answer_json(response, MAX_ANSWER_BYTES)
                kind: Any = ClaimAnswer if is_claim else SettlementAnswer
                return Ok(CONVERTER.structure(body, kind))
        except (*TRANSPORT_ERRORS, KeyError, RuntimeError) as error:
            # A session that is closed while this agent is stopping raises
            # RuntimeError.
            unsent = isinstance(error, (KeyError, aiohttp.ClientConnectorError))
            ran = Ran.NO if unsent else Ran.UNKNOWN
            return Error(Failure(Step.CLAIM, vm, "agent-lost", repr(error), ran))
