"""The datagrams between gateways."""

import enum
import json
import zlib
from typing import Any

import attrs

from lentilhaven.core.converter import CONVERTER
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.endpoint_history import EndpointChanges
from lentilhaven.peering.member import Member

#: Level of compression: the fastest; datagrams repeat names of endpoints.
COMPRESSION = 1

#: Largest text of a datagram that is decoded, in bytes; many times what the largest
#: fleet sends.
MOST_BYTES = 1 << 20


class Scope(enum.Enum):
    """Whose load a datagram sums up."""

    OWN = "own"
    #: No load: a question who else is there, and the answer.
    PROBE = "probe"
    MEMBERS = "members"
    DATA_CENTRE = "data-centre"
    FLEET = "fleet"


@attrs.frozen
class PeerNews:
    """
    What one gateway says, of itself or of several.

    Attributes
    ----------
    vm : str
        Who says it.
    run : str
        Which process of that VM.
    address : str
        ``IP:PORT`` of its datagrams.
    number : int
        Counts the datagrams of a process; an older one is ignored.
    scope : Scope
        Whose load it sums up.
    data_centre : str
        Where it stands.
    capacity : float
        Cores that it may use.
    gateways : int
        How many gateways it sums up.
    relay : str
        ``IP:PORT`` at which it passes on what it knows.
    manifest_revision, endpoints_revision : int
        What it knows.
    digest : str
        Of the endpoints that it knows.
    checked : float
        Seconds since it last read all of that from the store, or since another
        one did if it sums up several.
    loads : dict
        Requests under way and their tokens times layers, by endpoint.
    pipes : dict
        Tokens per second that the requests send through each pipe.
    heard : dict
        Seconds since an event has come from an endpoint, for those from which one
        has come since the last datagram.
    suspects : dict
        Seconds since which an endpoint is suspected and for which it still is,
        by endpoint.
    members : tuple of Member
        Some other gateways.
    changes : EndpointChanges or None
        Latest changes of endpoints.
    wants_answer : bool
        Whether a leader should tell the sender the sum of all.
    ready : bool
        Whether it serves callers.
    places : bool
        Whether it holds the lease for placement, or knows who does.
    """

    vm: str
    run: str
    address: str
    number: int
    scope: Scope = Scope.OWN
    data_centre: str = ""
    capacity: float = 0.0
    gateways: int = 1
    relay: str = ""
    manifest_revision: int = 0
    endpoints_revision: int = 0
    digest: str = ""
    checked: float = 1e6
    loads: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    pipes: dict[str, float] = attrs.field(factory=dict)
    heard: dict[str, float] = attrs.field(factory=dict)
    suspects: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    members: tuple[Member, ...] = ()
    changes: EndpointChanges | None = None
    wants_answer: bool = True
    ready: bool = True
    places: bool = False

    @property
    def sender(self) -> Member:
        """Return the gateway that says it."""
        return Member(self.address, self.data_centre, self.capacity)


def encode_news(news: PeerNews) -> bytes:
    """
    Encode a datagram.

    Parameters
    ----------
    news : PeerNews
        What to say.

    Examples
    --------
    >>> news = PeerNews("vm-1", "r", "10.0.0.1:7000", 1, loads={"e": (1, 5.0)})
    >>> decode_news(encode_news(news)) == news
    True
    """
    fields = {name: getattr(news, name) for name in attrs.fields_dict(PeerNews)}
    fields["scope"] = news.scope.value
    fields["members"] = [
        (it.address, it.data_centre, it.capacity) for it in news.members
    ]
    fields["changes"] = encode_changes(news.changes)
    text = json.dumps(fields, separators=(",", ":")).encode()
    return zlib.compress(text, COMPRESSION)


def encode_changes(changes: EndpointChanges | None) -> list[Any] | None:
    """Encode changes of endpoints."""
    if changes is None:
        return None
    found = [CONVERTER.unstructure(it) for it in changes.changed]
    return [changes.since, changes.until, found, list(changes.gone)]


def decode_news(data: bytes) -> PeerNews | None:
    """
    Decode a datagram; None if it is not one.

    Examples
    --------
    >>> decode_news(b"[1]")
    """
    try:
        fields: dict[str, Any] = json.loads(unpack(data))
        return PeerNews(
            vm=str(fields["vm"]),
            run=str(fields["run"]),
            address=str(fields["address"]),
            number=int(fields["number"]),
            scope=Scope(fields["scope"]),
            data_centre=str(fields["data_centre"]),
            capacity=float(fields["capacity"]),
            gateways=int(fields["gateways"]),
            relay=str(fields["relay"]),
            manifest_revision=int(fields["manifest_revision"]),
            endpoints_revision=int(fields["endpoints_revision"]),
            digest=str(fields["digest"]),
            checked=float(fields["checked"]),
            loads={
                str(name): (int(load[0]), float(load[1]))
                for name, load in fields["loads"].items()
            },
            pipes={str(name): float(rate) for name, rate in fields["pipes"].items()},
            heard={str(name): float(age) for name, age in fields["heard"].items()},
            suspects={
                str(name): (float(span[0]), float(span[1]))
                for name, span in fields["suspects"].items()
            },
            members=tuple(
                Member(str(address), str(data_centre), float(capacity))
                for address, data_centre, capacity in fields["members"]
            ),
            changes=decode_changes(fields["changes"]),
            wants_answer=bool(fields["wants_answer"]),
            ready=bool(fields["ready"]),
            places=bool(fields["places"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError, IndexError, zlib.error):
        return None


def unpack(data: bytes) -> bytes:
    """
    Return the text of a datagram.

    Raises
    ------
    ValueError, zlib.error
        If it is damaged or too long.
    """
    unpacker = zlib.decompressobj()
    text = unpacker.decompress(data, MOST_BYTES)
    if not unpacker.eof:
        raise ValueError("the datagram is not whole")
    return text


def decode_changes(value: list[Any] | None) -> EndpointChanges | None:
    """
    Decode changes of endpoints.

    Raises
    ------
    TypeError, ValueError
        If they are not that.
    """
    if value is None:
        return None
    since, until, found, gone = value
    try:
        changed = CONVERTER.structure(found, list[Endpoint])
    except Exception as error:  # cattrs raises groups of errors
        raise ValueError(f"endpoints: {error}") from error
    return EndpointChanges(int(since), int(until), tuple(changed), tuple(gone))
