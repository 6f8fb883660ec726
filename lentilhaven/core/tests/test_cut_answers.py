"""Calls over HTTP whose answers break off within their heads, with real bytes."""

import asyncio
import unittest
from types import SimpleNamespace

from lentilhaven.cli.client_settings import ClientSettings
from lentilhaven.cli.connection import open_connection
from lentilhaven.core.client_session import open_session
from lentilhaven.core.failure import FailureError
from lentilhaven.core.ids import VmId
from lentilhaven.endpoints.engine_client import EngineClient
from lentilhaven.endpoints.load_client import read_load
from lentilhaven.endpoints.service_client import (
    ServiceCall,
    call_service,
    read_key_status,
)
from lentilhaven.endpoints.stage import Stage
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.membership.peer_client import PeerClient
from lentilhaven.objects.object_client import open_object_client
from lentilhaven.objects.write_outcome import Ambiguous
from lentilhaven.platform.engine_calls import OrderOutcome, fetch_report, order_layers
from lentilhaven.platform.store_client import open_store_client
from lentilhaven.router.agent_client import AgentClient
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.layer_range import LayerRange
from lentilhaven.upstream.tests.wire import close_in_order, reset

#: Seconds after which a call gives up.
TIMEOUT = 5.0

#: What no failure may repeat: failures are logged, and told to callers.
SECRET = b"token-of-the-peer"

#: What arrives of the answer's head.
CUTS = (
    b"",
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSet-Cookie: " + SECRET + b"\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nETag: 1\r\n",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nA",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
    # A head that can't be read, whose error shows where.
    b"HTTP/1.1 200 OK\r\nSet-Cookie: " + SECRET + b"\x00\r\n\r\n",
)


async def permit(step):
    """Allow a call to the store."""


def ignore_head(endpoint, head):
    """Take the head of an engine's answer."""


def attempt_call(method):
    """Return a call to a plain service."""

    async def call(place):
        sent = ServiceCall(method, "/x", {}, b"")
        return await call_service(place.session, place.spec, sent, TIMEOUT)

    return call


def store_call(make):
    """Return a call to the platform's store."""

    async def call(place):
        opening = open_store_client(place.address, TIMEOUT, permit)
        async with opening as client:
            return await make(client)

    return call


def object_call(make):
    """Return a call to the object API."""

    async def call(place):
        async with open_object_client(place.url) as client:
            return await make(client)

    return call


async def ask_vm(place):
    """Ask a program of a VM as the operators' client does."""
    settings = ClientSettings(place.url, agent_urls={"vm-1": place.url})
    async with open_connection(settings) as connection:
        vm = SimpleNamespace(id=VmId("vm-1"))
        return await connection.request(vm, "agent", "/status")


async def begin_stream(place):
    """Read a stream of an engine from a position."""
    try:
        opening = EngineClient(place.session).resume_stream(place.stage, "r1", 0)
        async with opening as feed:
            return await feed.next_chunk(TIMEOUT)
    except FailureError:
        return None


#: Each call, by what it speaks to and what it does.
CALLS = {
    "engine, report": lambda place: fetch_report(
        place.session, place.endpoint, TIMEOUT, ignore_head
    ),
    "engine, order": lambda place: order_layers(
        place.session, place.endpoint, LayerSpan(0, 4), 1, 0, TIMEOUT, ignore_head
    ),
    "store, list": store_call(lambda client: client.list_kind("servers")),
    "store, read": store_call(lambda client: client.read("leases/placement")),
    "store, create": store_call(lambda client: client.write("leases/x", {}, 0)),
    "store, update": store_call(lambda client: client.write("leases/x", {}, 7)),
    "objects, read": object_call(lambda client: client.read("tables/head")),
    "objects, write": object_call(lambda client: client.write("tables/head", {}, 7)),
    "objects, list": object_call(lambda client: client.list_prefix("tables/")),
    "service, safe": attempt_call("GET"),
    "service, put": attempt_call("PUT"),
    "service, unsafe": attempt_call("POST"),
    "service, key": lambda place: read_key_status(place.session, place.spec, "k"),
    "service, load": lambda place: read_load(place.session, place.spec),
    "engine, stream": begin_stream,
    "engine, order of a stream": lambda place: EngineClient(place.session).read_order(
        place.stage, "r1"
    ),
    "engine, cancel": lambda place: EngineClient(place.session).cancel(
        place.stage, "r1", 1
    ),
    "agent, view": lambda place: AgentClient(place.url, place.session, "t").read_view(
        0, 0, 0
    ),
    "agent, of another agent": lambda place: PeerClient(
        place.session, "t"
    ).get_document(place.url, TIMEOUT),
    "agent, of an operator": ask_vm,
}


def is_error(outcome):
    """Return whether a call has said that it got no usable answer."""
    if isinstance(outcome, Ambiguous) or outcome is OrderOutcome.UNKNOWN:
        return True
    return not outcome if outcome in (None, False) else outcome.is_error()


async def play(call):
    """Make a call for each cut and end; return those that went wrong, and all."""
    wrong, outcomes, arrivals, answer = [], [], [], SimpleNamespace()

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        arrivals.append(head.split(b" ")[0])
        writer.write(answer.cut)
        await writer.drain()
        answer.end(writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    url = f"http://{address}"
    async with open_session() as session:
        place = SimpleNamespace(
            address=address,
            url=url,
            session=session,
            endpoint=Endpoint("e", "gen", address, "a"),
            spec=EndpointSpec("e", url, "a"),
            stage=Stage("e", url, LayerRange(0, 4)),
        )
        for answer.cut in CUTS:
            for answer.end in (close_in_order, reset):
                arrivals.clear()
                outcome = await call(place)
                outcomes.append(outcome)
                if not is_error(outcome) or len(arrivals) != 1:
                    wrong.append(
                        (answer.cut, answer.end.__name__, outcome, arrivals[:])
                    )
    server.close()
    return wrong, outcomes


class CutAnswerTests(unittest.TestCase):
    """Guards against calls of which nobody knows, and answers that nobody gave."""

    def test_each_call_fails_and_is_made_once(self):
        for name, call in CALLS.items():
            with self.subTest(name):
                self.assertEqual(asyncio.run(play(call))[0], [])

    def test_fields_of_a_head_are_not_told(self):
        """Guards against secrets of a peer in logs and in answers to callers."""
        for name, call in CALLS.items():
            with self.subTest(name):
                outcomes = asyncio.run(play(call))[1]
                self.assertNotIn(SECRET.decode(), repr(outcomes))


class LostConfirmationTests(unittest.TestCase):
    """Guards against a write that has taken effect and is told as refused."""

    #: Answer to each write: the first takes effect, and the head breaks off.
    ANSWERS = (b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n")

    async def write(self, call, refusal):
        """Return the outcome of a write, if one more would be refused."""
        answers = list(self.ANSWERS)

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answers.pop(0).replace(b"%d", b"%d" % refusal))
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        place = SimpleNamespace(address=address, url=f"http://{address}")
        outcome = await call(place)
        server.close()
        return outcome

    def test_it_is_not_known_whether_it_took_effect(self):
        for name, refusal in (("store, update", 409), ("objects, write", 412)):
            with self.subTest(name):
                outcome = asyncio.run(self.write(CALLS[name], refusal))
                self.assertIsInstance(outcome, Ambiguous)
