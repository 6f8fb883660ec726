"""Client for the HTTP API of the agent on the same VM."""

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    Settlement,
)
from lentilhaven.control.view_update import ViewUpdate
from lentilhaven.core.answer_body import read_answer_json
from lentilhaven.core.converter import CONVERTER, to_document
from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step

#: Seconds that the agent holds a long poll open when the view has not changed.
VIEW_POLL_TIMEOUT = 10.0

#: Timeout of a claim or a settlement, in seconds.
CLAIM_TIMEOUT = 5.0

#: Maximum size of a view, which may hold all tables, in bytes.
MAX_VIEW_BYTES = 64_000_000

#: Maximum size of the answer to a claim, which may hold a recorded response, or to a
#: settlement, in bytes.
MAX_ANSWER_BYTES = 1_000_000

#: Errors of a request that received no usable answer.
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@attrs.define
class AgentClient:
    """
    Polls the agent for the view, and claims and settles non-idempotent calls.

    Attributes
    ----------
    base_url : str
        Base URL of the agent.
    session : aiohttp.ClientSession
        Session for all requests; closed by its owner, not by this client.
    token : str
        Token shared by the processes of the cluster.
    """

    base_url: str
    session: aiohttp.ClientSession
    token: str

    async def read_view(
        self, run: int, after: int, tables_version: int
    ) -> Result[ViewUpdate, Failure]:
        """
        Wait until the view differs from the last one received or the poll times out.

        Parameters
        ----------
        run, after : int
            Run of the agent and sequence number of the last view received; -1 for
            none.
        tables_version : int
            Version of the tables last received; -1 for none.

        Returns
        -------
        Result
            The update; a failure if the agent gave no usable answer.
        """
        query = {
            "run": str(run),
            "after": str(after),
            "tables": str(tables_version),
            "timeout": str(VIEW_POLL_TIMEOUT),
        }
        # Longer than the agent holds the poll, so that the agent can answer first.
        timeout = aiohttp.ClientTimeout(total=VIEW_POLL_TIMEOUT + 2.0)
        try:
            async with self.session.get(
                f"{self.base_url}/view",
                params=query,
                timeout=timeout,
                headers=self.auth_headers(),
            ) as response:
                response.raise_for_status()
                body = await read_answer_json(response, MAX_VIEW_BYTES)
                return Ok(CONVERTER.structure(body, ViewUpdate))
        except REQUEST_ERRORS as error:
            return Error(Failure(Step.SPREAD, "agent", "agent-lost", repr(error)))

    async def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """
        Claim the right to dispatch a call.

        Parameters
        ----------
        request : ClaimRequest
            The call to claim.

        Returns
        -------
        ClaimAnswer
            The agent's answer.  If there is none, the outcome is ``UNAVAILABLE``
            and `may_stand` is false only if no connection was made.
        """
        try:
            body = await self.post("/claims", request)
            return CONVERTER.structure(body, ClaimAnswer)
        except REQUEST_ERRORS as error:
            failure = Failure(
                Step.CLAIM, "agent", "agent-lost", repr(error), retry_after=1.0
            )
            unsent = isinstance(error, aiohttp.ClientConnectorError)
            outcome = ClaimOutcome.UNAVAILABLE
            return ClaimAnswer(outcome, failure=failure, may_stand=not unsent)

    async def settle(self, settlement: Settlement) -> bool:
        """
        Report how a granted call ended.

        Parameters
        ----------
        settlement : Settlement
            The call and its outcome.

        Returns
        -------
        bool
            Whether the agent has confirmed the settlement; false also if the agent
            gave no usable answer.
        """
        try:
            return bool((await self.post("/settlements", settlement))["confirmed"])
        except REQUEST_ERRORS:
            return False

    async def post(self, path: str, message: object) -> dict:
        """Send a message as JSON and return the JSON answer, or raise an error."""
        timeout = aiohttp.ClientTimeout(total=CLAIM_TIMEOUT)
        async with self.session.post(
            f"{self.base_url}{path}",
            json=to_document(message),
            timeout=timeout,
            headers=self.auth_headers(),
        ) as response:
            response.raise_for_status()
            return await read_answer_json(response, MAX_ANSWER_BYTES)

    def auth_headers(self) -> dict[str, str]:
        """Return the authorization header with the cluster token."""
        return {"Authorization": f"Bearer {self.token}"}
