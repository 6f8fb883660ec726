"""Request heads: decoding from callers and encoding to endpoints."""

from collections.abc import Iterable, Mapping, Sequence

import attrs

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.platform import headers

#: Maximum number of shared parts of a prompt that are decoded, and maximum length of
#: their ids; longer ids are ignored.
MAX_PROMPT_PARTS = 32
MAX_PART_ID_LENGTH = 64

HEX_DIGITS = frozenset("0123456789abcdef")

#: One part of a chain: an endpoint and the layers that it runs.
ChainPart = tuple[Endpoint, LayerSpan]


@attrs.frozen
class RequestHead:
    """
    Decoded head of a caller's request.

    Attributes
    ----------
    request_id : str
        Id of the request; each attempt of the caller has its own id.
    api_key : str
        API key of the caller; empty if there is none.
    timeout : float or None
        Seconds that the caller waits for the response; None if unknown.
    last_event_id : str
        Id of the last event that the caller has received; empty at the start of a
        stream.
    prompt_tokens, max_output_tokens : int
        Number of prompt tokens and maximum number of output tokens; 0 if not given,
        as for a request that generates no tokens.
    length_hint : int
        Number of output tokens that the caller expects; 0 if unknown.
    prompt_parts : tuple of str
        Ids of the parts of the prompt that other requests may share, in order.
    forwarded_headers : tuple of (str, str)
        Headers that are forwarded unchanged to the endpoint.
    """

    request_id: str
    api_key: str = ""
    timeout: float | None = None
    last_event_id: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    length_hint: int = 0
    prompt_parts: tuple[str, ...] = ()
    forwarded_headers: tuple[tuple[str, str], ...] = ()


def decode_request_head(fields: Mapping[str, str]) -> RequestHead:
    """
    Decode the head of a caller's request.

    Parameters
    ----------
    fields : mapping
        Headers by case-insensitive name.  An invalid number counts as missing.

    Examples
    --------
    >>> head = decode_request_head({"Request-Id": "a", "Token-Count": "760,200"})
    >>> head.prompt_tokens, head.max_output_tokens, head.timeout
    (760, 200, None)
    """
    prompt, _, output = fields.get(headers.TOKEN_COUNT, "").partition(",")
    scheme, _, key = fields.get(headers.AUTHORIZATION, "").partition(" ")
    patience = parse_number(fields.get(headers.DEADLINE_MS, ""))
    return RequestHead(
        request_id=fields.get(headers.REQUEST_ID, ""),
        api_key=key.strip() if scheme.lower() == headers.KEY_SCHEME.lower() else "",
        timeout=None if patience is None else patience / 1000.0,
        last_event_id=fields.get(headers.LAST_EVENT_ID, ""),
        prompt_tokens=int(parse_number(prompt) or 0),
        max_output_tokens=int(parse_number(output) or 0),
        length_hint=int(parse_number(fields.get(headers.LENGTH_HINT, "")) or 0),
        prompt_parts=decode_prompt_parts(fields.get(headers.PROMPT_PREFIX, "")),
        forwarded_headers=tuple(end_to_end_headers(fields)),
    )


def decode_prompt_parts(text: str) -> tuple[str, ...]:
    """
    Return the ids of the shared parts of a prompt, without the last part.

    Ids that are too long or no hexadecimal number are left out.

    Examples
    --------
    >>> decode_prompt_parts("5C1E:800, 91bd:410,e440:250")
    ('5c1e', '91bd')
    """
    shared = text.split(",")[:-1]
    ids = (entry.partition(":")[0].strip().lower() for entry in shared)
    found = dict.fromkeys(part_id for part_id in ids if is_part_id(part_id))
    return tuple(found)[:MAX_PROMPT_PARTS]


def is_part_id(text: str) -> bool:
    """Return whether a lower-case text is a valid id of a part of a prompt."""
    return 0 < len(text) <= MAX_PART_ID_LENGTH and set(text) <= HEX_DIGITS


def parse_number(text: str) -> float | None:
    """Return the number in a text; None if invalid, negative, or 1e12 or more."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e12 else None


def end_to_end_headers(fields: Mapping[str, str]) -> Iterable[tuple[str, str]]:
    """Yield the headers that are forwarded unchanged to the endpoint."""
    # Headers that `Connection` names are meant for the gateway only.
    connection_options = {
        name.strip().lower() for name in fields.get("Connection", "").split(",")
    }
    for name, value in fields.items():
        lower = name.lower()
        if (
            lower not in headers.UNFORWARDED_REQUEST_HEADERS
            and lower not in connection_options
        ):
            yield name, value


def encode_request(
    method: str,
    target: str,
    head: RequestHead,
    body_length: int,
    own: Sequence[tuple[str, str]],
) -> bytes:
    """
    Encode the head of a request to an endpoint.

    Parameters
    ----------
    method, target : str
        Method and request target, as the caller sent them.
    head : RequestHead
        Head of the caller's request.
    body_length : int
        Length of the body, in bytes.
    own : sequence of (str, str)
        Headers that the gateway sets, as returned by `gateway_headers`.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in (*head.forwarded_headers, *own)]
    if body_length or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {body_length}")
    # aiohttp decodes headers in the same way, so invalid UTF-8 is forwarded unchanged.
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")


def gateway_headers(
    endpoint: Endpoint,
    seconds_left: float,
    tenant: str = "",
    priority: int | None = None,
    path: Sequence[ChainPart] = (),
    last_event_id: str = "",
    weights: str = "",
) -> list[tuple[str, str]]:
    """
    Return the headers that the gateway sets on a request.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint to which the request is sent.
    seconds_left : float
        Time until the caller stops waiting, in seconds.
    tenant : str
        Name of the caller's workspace; empty if the route needs no key.
    priority : int or None
        Priority in the engine's queue, limited to 0..9, of which 0 is first; None for
        a plain service, which runs no model.
    path : sequence of ChainPart
        The chain, starting with `endpoint`; empty for a plain service.
    last_event_id : str
        Id of the event after which a stream continues; empty to start one.
    weights : str
        Version of the weights with which a stream must continue; empty for any.
    """
    found = [
        (headers.DEADLINE_MS, str(max(1, int(seconds_left * 1000)))),
        (headers.EXPECT_REPLICA, endpoint.id),
    ]
    if tenant:
        found.append((headers.TENANT, tenant))
    if priority is not None:
        found.append((headers.REQUEST_PRIORITY, str(min(9, max(0, priority)))))
    if path:
        found.append((headers.HOP_COUNT, encode_path(path)))
    if last_event_id:
        found.append((headers.LAST_EVENT_ID, last_event_id))
    if weights:
        found.append((headers.EXPECT_VERSION, weights))
    return found


def encode_path(path: Sequence[ChainPart]) -> str:
    """
    Encode a chain in the platform's notation.

    Examples
    --------
    >>> first = Endpoint("a", "s", "10.0.0.1:80", "z")
    >>> encode_path([(first, LayerSpan(0, 20))])
    '10.0.0.1:80=0-20'
    """
    return ",".join(f"{part.address}={span.start}-{span.end}" for part, span in path)
