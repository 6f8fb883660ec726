"""The HTTP side of the agent towards other agents."""

import json
from typing import TypeVar

from aiohttp import web

from lentilhaven.agent.app_keys import AGENT
from lentilhaven.core.converter import to_document
from lentilhaven.core.settings import structure_document
from lentilhaven.membership.messages import FactRequest, Heartbeat

T = TypeVar("T")

#: Bytes from which an answer is compressed.
COMPRESS_FROM = 1_000


def add_peer_routes(app: web.Application) -> None:
    """
    Add what other agents ask for.

    Parameters
    ----------
    app : aiohttp.web.Application
        The agent's application.
    """
    app.router.add_get("/peer/state", read_state)
    app.router.add_get("/peer/parts/{part}", read_part)
    app.router.add_post("/peer/heartbeat", answer_heartbeat)
    app.router.add_post("/peer/facts", answer_facts)
    app.router.add_get("/status", read_status)
    app.on_response_prepare.append(drop_server_header)


async def read_message(request: web.Request, kind: type[T]) -> T:
    """
    Return the message that a request carries.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request.
    kind : type
        Class of the message.

    Raises
    ------
    aiohttp.web.HTTPBadRequest
        If it is not such a message.
    """
    try:
        document = await request.json()
    except ValueError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    parsed = structure_document(document, kind)
    if parsed.is_error():
        raise web.HTTPBadRequest(text=parsed.error.detail)
    return parsed.ok


def answer_message(message: object) -> web.Response:
    """Return a response that carries a message, compressed if it is long."""
    text = json.dumps(to_document(message), separators=(",", ":"))
    response = web.json_response(text=text)
    if response.body is not None and len(response.text or "") >= COMPRESS_FROM:
        response.enable_compression(web.ContentCoding.deflate)
    return response


async def drop_server_header(_: web.Request, response: web.StreamResponse) -> None:
    """Save the bytes of a header that no agent reads."""
    response.headers.popall("Server", None)


async def read_state(request: web.Request) -> web.Response:
    """Answer which tables and which list are newer than the caller's."""
    try:
        tables = int(request.query["tables"])
        vms = int(request.query["vms"])
        timeout = float(request.query["timeout"])
    except (KeyError, ValueError) as error:
        raise web.HTTPBadRequest(text=repr(error)) from error
    spreader = request.app[AGENT].spreader
    return answer_message(await spreader.wait_for_state(tables, vms, timeout))


async def read_part(request: web.Request) -> web.Response:
    """Answer one part of the tables."""
    document = request.app[AGENT].holder.documents.get(request.match_info["part"])
    if document is None:
        raise web.HTTPNotFound(text="no such part")
    return answer_message(document)


async def answer_heartbeat(request: web.Request) -> web.Response:
    """Answer a heartbeat."""
    heartbeat = await read_message(request, Heartbeat)
    return answer_message(request.app[AGENT].heartbeats.answer(heartbeat))


async def answer_facts(request: web.Request) -> web.Response:
    """Take facts and answer those that the caller lacks."""
    facts = await read_message(request, FactRequest)
    try:
        answer = request.app[AGENT].gossip.answer(facts)
    except ValueError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    return answer_message(answer)


async def read_status(request: web.Request) -> web.Response:
    """Answer what this agent holds and whom it sees."""
    agent = request.app[AGENT]
    members = agent.members
    listed = sorted(vm.id for vm in members.vm_list.vms)
    return web.json_response(
        {
            "vm": members.own,
            "data_centre": members.data_centre,
            "state": members.own_state.value,
            "incarnation": agent.gossip.incarnation,
            "ready": agent.ready,
            "tables": agent.holder.head.version,
            "edit": agent.holder.head.edit,
            "list_version": members.vm_list.version,
            "live": members.live_ids(),
            "suspected": [vm for vm in listed if members.suspected(vm)],
            "unreachable": sorted(members.unreachable),
            "polled": sorted(agent.poller.specs),
        }
    )
