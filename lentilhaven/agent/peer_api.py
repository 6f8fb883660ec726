"""HTTP API of the agent for other agents."""

import json
from typing import TypeVar

from aiohttp import web

from lentilhaven.agent.app_keys import AGENT
from lentilhaven.core.converter import to_document
from lentilhaven.core.settings import structure_document
from lentilhaven.membership.messages import FactRequest, Heartbeat

T = TypeVar("T")

#: Minimum length of a response body that is compressed, in characters.
MIN_COMPRESSED_SIZE = 1_000


def add_peer_routes(app: web.Application) -> None:
    """
    Add the routes that other agents call.

    Parameters
    ----------
    app : aiohttp.web.Application
        Web application of the agent.
    """
    app.router.add_get("/peer/state", read_state)
    app.router.add_get("/peer/parts/{part}", read_part)
    app.router.add_post("/peer/heartbeat", handle_heartbeat)
    app.router.add_post("/peer/facts", handle_facts)
    app.router.add_get("/status", read_status)
    app.on_response_prepare.append(drop_server_header)


async def read_message(request: web.Request, kind: type[T]) -> T:
    """
    Parse the body of a request as a message.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request.
    kind : type
        Class of the message.

    Raises
    ------
    aiohttp.web.HTTPBadRequest
        If the body is not a valid message of this class.
    """
    try:
        document = await request.json()
    except ValueError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    parsed = structure_document(document, kind)
    if parsed.is_error():
        raise web.HTTPBadRequest(text=parsed.error.detail)
    return parsed.ok


def message_response(message: object) -> web.Response:
    """Return a response with a message as its body, compressed if it is long."""
    text = json.dumps(to_document(message), separators=(",", ":"))
    response = web.json_response(text=text)
    if response.body is not None and len(response.text or "") >= MIN_COMPRESSED_SIZE:
        response.enable_compression(web.ContentCoding.deflate)
    return response


async def drop_server_header(_: web.Request, response: web.StreamResponse) -> None:
    """Remove the ``Server`` header, which no agent reads, to save bytes."""
    response.headers.popall("Server", None)


async def read_state(request: web.Request) -> web.Response:
    """
    Return the head and the list of VMs if newer than the caller's.

    If neither is newer, wait for a newer one until the caller's timeout, in seconds.
    """
    try:
        tables = int(request.query["tables"])
        vms = int(request.query["vms"])
        timeout = float(request.query["timeout"])
    except (KeyError, ValueError) as error:
        raise web.HTTPBadRequest(text=repr(error)) from error
    state_sync = request.app[AGENT].state_sync
    return message_response(await state_sync.wait_for_state(tables, vms, timeout))


async def read_part(request: web.Request) -> web.Response:
    """Return the part of the tables with the content hash in the path."""
    document = request.app[AGENT].holder.documents.get(request.match_info["part"])
    if document is None:
        raise web.HTTPNotFound(text="no such part")
    return message_response(document)


async def handle_heartbeat(request: web.Request) -> web.Response:
    """Record a heartbeat and return the heartbeat of this VM."""
    heartbeat = await read_message(request, Heartbeat)
    return message_response(request.app[AGENT].heartbeats.handle_heartbeat(heartbeat))


async def handle_facts(request: web.Request) -> web.Response:
    """Merge the facts received and return those that the caller lacks."""
    fact_request = await read_message(request, FactRequest)
    try:
        answer = request.app[AGENT].gossip.handle_request(fact_request)
    except ValueError as error:
        # The topic of a fact or the name of a scope is unknown.
        raise web.HTTPBadRequest(text=str(error)) from error
    return message_response(answer)


async def read_status(request: web.Request) -> web.Response:
    """Return the versions that this agent holds and the VMs that it sees."""
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
            "suspected": [vm for vm in listed if members.is_suspected(vm)],
            "unreachable": sorted(members.unreachable),
            "polled": sorted(agent.poller.specs),
        }
    )
