"""HTTP API of the agent for the router and other agents."""

import hmac

from aiohttp import web

from lentilhaven.agent.agent import Agent
from lentilhaven.agent.app_keys import AGENT, TOKEN
from lentilhaven.agent.peer_api import add_peer_routes, read_message
from lentilhaven.control.claim import ClaimRequest, Settlement
from lentilhaven.core.converter import to_document
from lentilhaven.serving.problem_middleware import problem_middleware

#: Maximum size of a request body, in bytes.
MAX_MESSAGE_BYTES = 4_000_000


def agent_app(agent: Agent, cluster_token: str) -> web.Application:
    """
    Return the web application of an agent.

    Parameters
    ----------
    agent : Agent
        The agent.
    cluster_token : str
        Token that every request must carry.
    """
    app = web.Application(
        middlewares=[problem_middleware, authenticate],
        client_max_size=MAX_MESSAGE_BYTES,
    )
    app[AGENT] = agent
    app[TOKEN] = cluster_token
    app.router.add_get("/view", read_view)
    app.router.add_post("/claims", submit_claim)
    app.router.add_post("/settlements", submit_settlement)
    app.router.add_post("/journal/claims", commit_claim)
    app.router.add_post("/journal/settlements", commit_settlement)
    app.router.add_get("/readyz", read_readiness)
    add_peer_routes(app)
    return app


@web.middleware
async def authenticate(request: web.Request, handler) -> web.StreamResponse:
    """Reject requests that do not carry the cluster's token."""
    presented = request.headers.get("Authorization", "")
    expected = f"Bearer {request.app[TOKEN]}"
    encoded = presented.encode(errors="surrogateescape")
    if not hmac.compare_digest(encoded, expected.encode()):
        raise web.HTTPUnauthorized(text="the cluster's token is required")
    return await handler(request)


async def read_view(request: web.Request) -> web.Response:
    """
    Return the view update once the view differs from the caller's.

    It is returned at once if the caller's view comes from another run of the agent,
    and in any case after the caller's timeout, in seconds.
    """
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


async def submit_claim(request: web.Request) -> web.Response:
    """Submit a claim from the router and return its outcome."""
    claim = await read_message(request, ClaimRequest)
    answer = await request.app[AGENT].journal.submit(claim)
    return web.json_response(to_document(answer))


async def submit_settlement(request: web.Request) -> web.Response:
    """Submit a settlement from the router and return its outcome."""
    settlement = await read_message(request, Settlement)
    answer = await request.app[AGENT].journal.submit(settlement)
    return web.json_response(to_document(answer))


async def commit_claim(request: web.Request) -> web.Response:
    """Commit a claim that another agent has forwarded; it is not forwarded again."""
    claim = await read_message(request, ClaimRequest)
    answer = await request.app[AGENT].journal.commit(claim)
    return web.json_response(to_document(answer))


async def commit_settlement(request: web.Request) -> web.Response:
    """Commit a forwarded settlement of another agent; it is not forwarded again."""
    settlement = await read_message(request, Settlement)
    answer = await request.app[AGENT].journal.commit(settlement)
    return web.json_response(to_document(answer))


async def read_readiness(request: web.Request) -> web.Response:
    """Return whether the agent is ready to serve tables."""
    ready = request.app[AGENT].ready
    return web.json_response({"ready": ready}, status=200 if ready else 503)
