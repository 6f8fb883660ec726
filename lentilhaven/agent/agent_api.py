"""The HTTP side of the agent."""

import hmac

from aiohttp import web

from lentilhaven.agent.agent import Agent
from lentilhaven.agent.app_keys import AGENT, TOKEN
from lentilhaven.agent.peer_api import add_peer_routes, read_message
from lentilhaven.control.claim import ClaimRequest, Settlement
from lentilhaven.core.converter import to_document
from lentilhaven.serving.problem_guard import guard_problems

#: Largest body of a message, in bytes.
MAX_MESSAGE_BYTES = 4_000_000


def agent_app(agent: Agent, cluster_token: str) -> web.Application:
    """
    Return the application that serves an agent.

    Parameters
    ----------
    agent : Agent
        The agent.
    cluster_token : str
        Token that every caller must show.
    """
    app = web.Application(
        middlewares=[guard_problems, authenticate], client_max_size=MAX_MESSAGE_BYTES
    )
    app[AGENT] = agent
    app[TOKEN] = cluster_token
    app.router.add_get("/view", read_view)
    app.router.add_post("/claims", claim_call)
    app.router.add_post("/settlements", settle_call)
    app.router.add_post("/journal/claims", commit_claim)
    app.router.add_post("/journal/settlements", commit_settlement)
    app.router.add_get("/readyz", read_readiness)
    add_peer_routes(app)
    return app


@web.middleware
async def authenticate(request: web.Request, handler) -> web.StreamResponse:
    """Refuse callers that do not show the cluster's token."""
    shown = request.headers.get("Authorization", "")
    expected = f"Bearer {request.app[TOKEN]}"
    encoded = shown.encode(errors="surrogateescape")
    if not hmac.compare_digest(encoded, expected.encode()):
        raise web.HTTPUnauthorized(text="the cluster's token is required")
    return await handler(request)


async def read_view(request: web.Request) -> web.Response:
    """Answer the view once it is newer than the caller's."""
    try:
        run = int(request.query.get("run", "-1"))
        after = int(request.query.get("after", "-1"))
        held_tables = int(request.query.get("tables", "-1"))
        timeout = float(request.query.get("timeout", "0"))
    except ValueError as error:
        raise web.HTTPBadRequest(text="the query must hold numbers") from error
    agent = request.app[AGENT]
    if run == agent.feed.run:
        await agent.wait_for_view(after, timeout)
    update = agent.view_update(run, after, held_tables)
    return web.json_response(to_document(update))


async def claim_call(request: web.Request) -> web.Response:
    """Answer a claim."""
    claim = await read_message(request, ClaimRequest)
    answer = await request.app[AGENT].journal.submit(claim)
    return web.json_response(to_document(answer))


async def settle_call(request: web.Request) -> web.Response:
    """Record a settlement."""
    settlement = await read_message(request, Settlement)
    answer = await request.app[AGENT].journal.submit(settlement)
    return web.json_response(to_document(answer))


async def commit_claim(request: web.Request) -> web.Response:
    """Commit a claim that another agent has forwarded."""
    claim = await read_message(request, ClaimRequest)
    answer = await request.app[AGENT].journal.journal.submit(claim)
    return web.json_response(to_document(answer))


async def commit_settlement(request: web.Request) -> web.Response:
    """Commit a settlement that another agent has forwarded."""
    settlement = await read_message(request, Settlement)
    answer = await request.app[AGENT].journal.journal.submit(settlement)
    return web.json_response(to_document(answer))


async def read_readiness(request: web.Request) -> web.Response:
    """Answer whether the agent has tables."""
    ready = request.app[AGENT].ready
    return web.json_response({"ready": ready}, status=200 if ready else 503)
