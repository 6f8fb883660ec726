"""The messages that gateways exchange as datagrams, and their encoding."""

import enum
import json
import zlib
from typing import Any

import attrs

from lentilhaven.core.converter import CONVERTER
from lentilhaven.core.store_position import StorePosition
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.endpoint_history import EndpointChanges
from lentilhaven.peering.member import Member

#: zlib compression level; the fastest, which is enough for text that repeats the
#: names of endpoints.
COMPRESSION_LEVEL = 1

#: Id of an endpoint and time of its start (see `Endpoint.incarnation`).
Incarnation = tuple[str, int]

#: A part of prompts: name of the service that runs them, and id of the part.
PromptPart = tuple[str, str]

#: Largest decompressed datagram that is accepted, in bytes; many times what the
#: largest fleet sends.
MAX_DECODED_BYTES = 1 << 20


class Scope(enum.Enum):
    """The set of gateways whose load a datagram sums up."""

    OWN = "own"
    #: No load: a request for the list of members.
    PROBE = "probe"
    #: No load: the answer to a probe.
    MEMBERS = "members"
    DATA_CENTRE = "data-centre"
    FLEET = "fleet"

    @property
    def distance(self) -> int:
        """
        Return through how many gateways its observations may have come.

        A gateway passes on only what has come through fewer.  Otherwise gateways would
        repeat each other's observations for ever.
        """
        return {Scope.DATA_CENTRE: 2, Scope.FLEET: 3}.get(self, 1)


@attrs.frozen
class PeerMessage:
    """
    One datagram: the state of the sender, or a sum over several gateways.

    Attributes
    ----------
    vm : str
        VM of the sender.
    run : str
        Id of the sender's process on that VM.
    address : str
        ``IP:PORT`` on which the sender receives datagrams.
    number : int
        Sequence number of the datagram within the process, by which receivers detect
        and ignore late datagrams.
    scope : Scope
        The gateways whose load the datagram sums up.
    data_centre : str
        Data centre of the sender.
    capacity : float
        Cores that the sender may use.
    gateways : int
        Number of gateways in the sum.
    relay : str
        ``IP:PORT`` from which other gateways can fetch the manifest and endpoints
        that the sender holds.
    manifest_revision, endpoints_revision : int
        Revisions of the store at which the sender has read its manifest and its
        endpoints.
    era : int or None
        Era of the endpoints' revisions; None from a release that knows no eras.
    manifest_version : int or None
        Version of the manifest that the sender holds; None from a release that
        compares manifests by revision.
    paces : dict
        Slowdown that an endpoint has stated, and seconds since then, by endpoint, for
        slow endpoints.
    leaving : tuple of (str, int)
        Incarnations of endpoints that have recently said that they are leaving.
    prompt_ends : dict
        Seconds since the end of endpoints that ended before they answered a prompt, by
        part of the prompt and incarnation.
    prompt_proofs : dict
        Seconds since a prompt was last answered, by part of the prompt, for parts under
        which endpoints have ended.
    digest : str
        Digest of the endpoints that the sender holds.
    checked : float
        Seconds since the sender last read the store in full; for a sum, since any
        gateway did.
    loads : dict
        Requests in flight and their token-layers (see `LoadSums`), by endpoint.
    pipes : dict
        Tokens per second that these requests send through each pipe, the link
        between two data centres.
    heard : dict
        Seconds since the last event of an endpoint, for endpoints that sent one
        since the previous datagram.
    suspects : dict
        Seconds since the suspicion of an endpoint began and seconds until it
        ends, by endpoint.
    members : tuple of Member
        Some other gateways, of which the receiver may not know yet.
    changes : EndpointChanges or None
        Recent changes of endpoints; None if the datagram contains none.
    wants_answer : bool
        Whether a leader should send its fleet-wide sum to the sender.
    ready : bool
        Whether the sender serves callers.
    places : bool
        Whether the sender, or for a sum any gateway in it, holds the placement
        lease.
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
    era: int | None = None
    manifest_version: int | None = None
    paces: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    leaving: tuple[Incarnation, ...] = ()
    prompt_ends: dict[PromptPart, dict[Incarnation, float]] = attrs.field(factory=dict)
    prompt_proofs: dict[PromptPart, float] = attrs.field(factory=dict)

    @property
    def sender(self) -> Member:
        """Return the gateway that sent the datagram."""
        return Member(self.address, self.data_centre, self.capacity)


def encode_message(message: PeerMessage) -> bytes:
    """
    Encode a datagram.

    Parameters
    ----------
    message : PeerMessage
        Content of the datagram.

    Examples
    --------
    >>> message = PeerMessage("vm-1", "r", "10.0.0.1:7000", 1, loads={"e": (1, 5.0)})
    >>> decode_message(encode_message(message)) == message
    True
    """
    fields = {name: getattr(message, name) for name in attrs.fields_dict(PeerMessage)}
    fields["scope"] = message.scope.value
    fields["members"] = [
        (member.address, member.data_centre, member.capacity)
        for member in message.members
    ]
    fields["changes"] = encode_changes(message.changes)
    fields["leaving"] = [list(incarnation) for incarnation in message.leaving]
    fields["prompt_ends"] = [
        (*part, [(*incarnation, age) for incarnation, age in ages.items()])
        for part, ages in message.prompt_ends.items()
    ]
    fields["prompt_proofs"] = [
        (*part, age) for part, age in message.prompt_proofs.items()
    ]
    text = json.dumps(fields, separators=(",", ":")).encode()
    return zlib.compress(text, COMPRESSION_LEVEL)


def encode_changes(changes: EndpointChanges | None) -> list[Any] | None:
    """Encode changes of endpoints."""
    if changes is None:
        return None
    changed = [CONVERTER.unstructure(endpoint) for endpoint in changes.changed]
    since, until = changes.since.revision, changes.until.revision
    return [since, until, changed, list(changes.gone)]


def decode_message(data: bytes) -> PeerMessage | None:
    """
    Decode a datagram; return None if it is malformed.

    Examples
    --------
    >>> decode_message(b"[1]")
    """
    try:
        fields: dict[str, Any] = json.loads(decompress(data))
        era = decode_optional_int(fields.get("era"))
        return PeerMessage(
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
                str(name): (float(ages[0]), float(ages[1]))
                for name, ages in fields["suspects"].items()
            },
            members=tuple(
                Member(str(address), str(data_centre), float(capacity))
                for address, data_centre, capacity in fields["members"]
            ),
            changes=decode_changes(fields["changes"], era or 0),
            wants_answer=bool(fields["wants_answer"]),
            ready=bool(fields["ready"]),
            places=bool(fields["places"]),
            era=era,
            manifest_version=decode_optional_int(fields.get("manifest_version")),
            paces={
                str(name): (float(pace[0]), float(pace[1]))
                for name, pace in fields.get("paces", {}).items()
            },
            leaving=tuple(
                (str(name), int(born)) for name, born in fields.get("leaving", ())
            ),
            prompt_ends={
                (str(service), str(part)): {
                    (str(name), int(born)): float(age) for name, born, age in ages
                }
                for service, part, ages in fields.get("prompt_ends", ())
            },
            prompt_proofs={
                (str(service), str(part)): float(age)
                for service, part, age in fields.get("prompt_proofs", ())
            },
        )
    except (ValueError, KeyError, TypeError, AttributeError, IndexError, zlib.error):
        return None


def decompress(data: bytes) -> bytes:
    """
    Return the decompressed text of a datagram.

    Raises
    ------
    ValueError, zlib.error
        If the datagram is damaged, or longer than `MAX_DECODED_BYTES`.
    """
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, MAX_DECODED_BYTES)
    if not decompressor.eof:
        raise ValueError(
            f"datagram of {len(data)} bytes is truncated, or decompresses to more "
            f"than {MAX_DECODED_BYTES} bytes"
        )
    return text


def decode_optional_int(value: Any) -> int | None:
    """Return an integer, or None for None."""
    return None if value is None else int(value)


def decode_changes(value: list[Any] | None, era: int) -> EndpointChanges | None:
    """
    Decode changes of endpoints whose revisions are of an era.

    Raises
    ------
    TypeError, ValueError
        If the value is malformed.
    """
    if value is None:
        return None
    since, until, encoded, gone = value
    try:
        changed = CONVERTER.structure(encoded, list[Endpoint])
    except Exception as error:  # cattrs raises groups of errors
        raise ValueError(f"endpoints: {error}") from error
    return EndpointChanges(
        StorePosition(era, int(since)),
        StorePosition(era, int(until)),
        tuple(changed),
        tuple(gone),
    )
