"""The router's client of its VM's agent."""

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
from lentilhaven.core.converter import CONVERTER, to_document
from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step

#: Seconds that a long poll for the view waits.
VIEW_TIMEOUT = 10.0

#: Seconds for a claim or a settlement.
CLAIM_TIMEOUT = 5.0

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@attrs.define
class AgentClient:
    """
    Follows the view, and claims and settles non-idempotent calls.

    Attributes
    ----------
    base_url : str
        Where the agent answers.
    session : aiohttp.ClientSession
        Connections; owned by the caller.
    token : str
        The cluster's token.
    """

    base_url: str
    session: aiohttp.ClientSession
    token: str

    async def read_view(
        self, run: int, after: int, tables: int
    ) -> Result[ViewUpdate, Failure]:
        """
        Wait for a view that differs from one already seen.

        Parameters
        ----------
        run, after : int
            Run and sequence of the view already seen; -1 for none.
        tables : int
            Version of the tables already held; -1 for none.
        """
        query = {
            "run": str(run),
            "after": str(after),
            "tables": str(tables),
            "timeout": str(VIEW_TIMEOUT),
        }
        limit = aiohttp.ClientTimeout(total=VIEW_TIMEOUT + 2.0)
        try:
            async with self.session.get(
                f"{self.base_url}/view",
                params=query,
                timeout=limit,
                headers=self.headers(),
            ) as response:
                response.raise_for_status()
                return Ok(CONVERTER.structure(await response.json(), ViewUpdate))
        except LOST as error:
            return Error(Failure(Step.SPREAD, "agent", "agent-lost", repr(error)))

    async def claim(self, claim: ClaimRequest) -> ClaimAnswer:
        """
        Claim the dispatch of a call.

        Parameters
        ----------
        claim : ClaimRequest
            The call.
        """
        try:
            body = await self.post("/claims", claim)
            return CONVERTER.structure(body, ClaimAnswer)
        except LOST as error:
            failure = Failure(
                Step.CLAIM, "agent", "agent-lost", repr(error), retry_after=1.0
            )
            unsent = isinstance(error, aiohttp.ClientConnectorError)
            outcome = ClaimOutcome.UNAVAILABLE
            return ClaimAnswer(outcome, failure=failure, may_stand=not unsent)

    async def settle(self, settlement: Settlement) -> bool:
        """
        Report how a granted call ended; False if it is not confirmed.

        Parameters
        ----------
        settlement : Settlement
            The call and its end.
        """
        try:
            return bool((await self.post("/settlements", settlement))["confirmed"])
        except LOST:
            return False

    async def post(self, path: str, message: object) -> dict:
        """Send one message and return the JSON answer."""
        limit = aiohttp.ClientTimeout(total=CLAIM_TIMEOUT)
        async with self.session.post(
            f"{self.base_url}{path}",
            json=to_document(message),
            timeout=limit,
            headers=self.headers(),
        ) as response:
            response.raise_for_status()
            return await response.json()

    def headers(self) -> dict[str, str]:
        """Return the headers that show the cluster's token."""
        return {"Authorization": f"Bearer {self.token}"}
