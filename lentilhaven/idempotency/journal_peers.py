"""The client with which agents forward claims and settlements to each other."""

from typing import Any

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.control.claim import ClaimAnswer, ClaimRequest, Settlement
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import VmId
from lentilhaven.core.ran import Ran
from lentilhaven.core.settings import CONVERTER, to_document
from lentilhaven.core.step import Step
from lentilhaven.idempotency.operation import Answer, Settled

#: Seconds for a forwarded message.
FORWARD_TIMEOUT = 1.5

#: Seconds for opening a connection to another agent.
CONNECT_TIMEOUT = 0.3

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@attrs.define
class JournalPeers:
    """
    Where the other agents are, and how to ask them.

    Attributes
    ----------
    session : aiohttp.ClientSession
        Connections; owned by the caller.
    token : str
        The cluster's token.
    addresses : dict
        Base URL of each VM's agent.
    """

    session: aiohttp.ClientSession
    token: str
    addresses: dict[VmId, str] = attrs.field(factory=dict)

    def live_vms(self) -> list[VmId]:
        """Return the VMs whose agents can be asked, in order of name."""
        return sorted(self.addresses)

    async def forward(
        self, vm: VmId, message: ClaimRequest | Settlement
    ) -> Result[Answer, Failure]:
        """
        Ask another agent to commit a message.

        Parameters
        ----------
        vm : str
            The other VM.
        message : ClaimRequest or Settlement
            What is asked.
        """
        is_claim = isinstance(message, ClaimRequest)
        path = "/journal/claims" if is_claim else "/journal/settlements"
        limit = aiohttp.ClientTimeout(
            total=FORWARD_TIMEOUT, sock_connect=CONNECT_TIMEOUT
        )
        headers = {"Authorization": f"Bearer {self.token}"}
        try:
            url = self.addresses[vm] + path
            async with self.session.post(
                url, json=to_document(message), timeout=limit, headers=headers
            ) as response:
                response.raise_for_status()
                body = await response.json()
                kind: Any = ClaimAnswer if is_claim else Settled
                return Ok(CONVERTER.structure(body, kind))
        except (*LOST, KeyError) as error:
            unsent = isinstance(error, (KeyError, aiohttp.ClientConnectorError))
            ran = Ran.NO if unsent else Ran.UNKNOWN
            return Error(Failure(Step.CLAIM, vm, "agent-lost", repr(error), ran))
