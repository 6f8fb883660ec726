"""The parsers to fuzz, each with valid inputs that are mutated."""

import json
import zlib
from collections.abc import Callable
from typing import Any

import attrs
from multidict import CIMultiDict, CIMultiDictProxy

from lentilhaven.agent.agent_settings import AgentSettings
from lentilhaven.cli.client_settings import ClientSettings
from lentilhaven.control.view import View
from lentilhaven.core.converter import to_document
from lentilhaven.core.request_context import bind_request
from lentilhaven.core.settings import parse_document, structure_document
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.peering.member import Member
from lentilhaven.peering.messages import (
    BreakerState,
    PeerMessage,
    decode_message,
    encode_message,
)
from lentilhaven.peering.subject import Subject, SubjectKind
from lentilhaven.platform import headers
from lentilhaven.platform.replica_format import decode_replica
from lentilhaven.platform.response_head import decode_response_head
from lentilhaven.platform.store_page import decode_change, load_page
from lentilhaven.router.authentication import WorkspaceIndex
from lentilhaven.router.completion_request import parse_completion
from lentilhaven.router.idempotency_key import (
    IDEMPOTENCY_KEY_HEADER,
    check_idempotency_key,
)
from lentilhaven.router.router_settings import RouterSettings
from lentilhaven.router.service_headers import forwarded_headers
from lentilhaven.tables.parts import parse_part
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.validation import parse_tables


@attrs.frozen
class FuzzedParser:
    """
    A parser that must not raise an exception, whatever its input.

    Attributes
    ----------
    name : str
        Name in error reports.
    parse : callable
        Function that takes JSON text as bytes, a document or a header value.
    seeds : list
        Valid documents, which are mutated; empty for a parser of header values.
    """

    name: str
    parse: Callable[[Any], object]
    seeds: list = attrs.field(factory=list)


COMPLETION = {"model": "m", "prompt": "a b", "max_tokens": 3, "stream": True}
CHAT = {
    "model": "m",
    "messages": [{"role": "user", "content": "a"}],
    "temperature": 0.5,
    "response_format": {"type": "text"},
}
SETTINGS = {
    "vm": "vm-1",
    "data_centre": "mty-a",
    "store_url": "http://127.0.0.1:1",
    "limits": {"max_connections": 7, "head_timeout": 1.5},
    "operators": {"port": 1, "tls": {"certificate_file": "a", "key_file": "b"}},
}

#: Headers of an endpoint's answer that contain numbers.
NUMBERS = (
    "Keep-Alive",
    headers.RETRY_AFTER,
    headers.REPLICA_LOAD,
    headers.SERVER_LIMIT,
)


def decode(data: bytes) -> str:
    """Return bytes decoded as UTF-8, with invalid sequences replaced."""
    return data.decode("utf-8", errors="replace")


def single_header(name: str, value: str) -> CIMultiDictProxy[str]:
    """Return a header mapping with a single field."""
    return CIMultiDictProxy(CIMultiDict([(name, value)]))


def text_parsers(tables: Tables) -> list[FuzzedParser]:
    """
    Return the parsers of JSON text.

    Parameters
    ----------
    tables : Tables
        Valid tables.
    """
    document = to_document(tables)
    return [
        FuzzedParser(
            "completion", lambda it: parse_completion(it, chat=False), [COMPLETION]
        ),
        FuzzedParser("chat", lambda it: parse_completion(it, chat=True), [CHAT]),
        FuzzedParser("tables", lambda it: parse_tables(decode(it)), [document]),
        FuzzedParser(
            "router settings",
            lambda it: parse_document(decode(it), RouterSettings),
            [SETTINGS],
        ),
        FuzzedParser(
            "agent settings",
            lambda it: parse_document(decode(it), AgentSettings),
            [SETTINGS],
        ),
        FuzzedParser(
            "client settings",
            lambda it: parse_document(decode(it), ClientSettings),
            [{"store_url": "http://a", "agent_urls": {"vm": "http://b"}}],
        ),
        FuzzedParser(
            "datagram",
            lambda it: decode_message(zlib.compress(it)),
            [json.loads(zlib.decompress(encode_message(sample_message())))],
        ),
        FuzzedParser("objects of the store", read_objects, [sample_page()]),
    ]


def read_objects(data: bytes) -> list[Endpoint | None]:
    """Decode a page of the platform's store; one that has no structure is empty."""
    try:
        page = load_page(data)
    except ValueError:
        return []
    items = page.get("items") if isinstance(page, dict) else None
    changes = [
        change
        for item in (items if isinstance(items, list) else [])
        if (change := decode_change(item, False, 0)) is not None
    ]
    return [decode_replica(change.name, change.value) for change in changes]


def sample_page() -> dict[str, Any]:
    """Return a page of the platform's store with the entry of a replica."""
    entry = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": "ready",
        "slots": 4,
        "born": 7,
        "models": [{"name": "m", "layers": {"from": 0, "target": 8, "version": 1}}],
    }
    metadata = {"name": "i-1", "rev": 3, "finalizers": [], "is_deleting": False}
    item = {"metadata": metadata, "spec": entry, "status": None}
    return {"items": [item], "has_more": False, "current_rev": 3}


def sample_message() -> PeerMessage:
    """Return a datagram between gateways with evidence about ended endpoints."""
    part, request = Subject("s", "5c1e"), Subject("s", "af26", SubjectKind.REQUEST)
    ends = {("a", 7): 1.5, ("b", 8): 0.2}
    return PeerMessage(
        "vm-1",
        "r",
        "10.0.0.1:7000",
        1,
        loads={"a": (2, 8.0)},
        heard={"a": 0.1},
        suspects={"b": (0.2, 1.0)},
        members=(Member("10.0.0.2:7000", "z", 1.0),),
        era=1,
        manifest_version=4,
        paces={"a": (3.0, 0.2)},
        leaving=(("c", 9),),
        prompt_ends={part: ends},
        prompt_proofs={part: 0.4},
        request_ends={request: ends},
        request_proofs={request: 0.3},
        breakers={request: BreakerState(1.5, 118.5, 0)},
        ended=ends,
    )


def document_parsers(tables: Tables) -> list[FuzzedParser]:
    """
    Return the parsers of messages between processes.

    Parameters
    ----------
    tables : Tables
        Valid tables.
    """
    view = json.loads(json.dumps(to_document(View(1, tables))))
    report = {"endpoint": "e", "running": 1, "waiting": 0, "kv_used": 1.5}
    part = {"pools": view["tables"]["pools"]}
    return [
        FuzzedParser("view", lambda it: structure_document(it, View), [view]),
        FuzzedParser("load", lambda it: structure_document(it, LoadReport), [report]),
        FuzzedParser("table part", parse_part, [part]),
    ]


def header_parsers(tables: Tables) -> list[FuzzedParser]:
    """
    Return the parsers of header values.

    Parameters
    ----------
    tables : Tables
        Tables against which tokens are checked.
    """
    index = WorkspaceIndex()
    return [
        FuzzedParser("authorization", lambda it: index.authenticate(tables, it)),
        FuzzedParser(
            "key",
            lambda it: check_idempotency_key(single_header(IDEMPOTENCY_KEY_HEADER, it)),
        ),
        FuzzedParser("trace", lambda it: bind_request("r", it)),  # type: ignore
        FuzzedParser(
            "hop by hop", lambda it: forwarded_headers([("Connection", it), (it, "x")])
        ),
        FuzzedParser(
            "answer of an endpoint",
            lambda it: decode_response_head(503, [(name, it) for name in NUMBERS]),
        ),
    ]
