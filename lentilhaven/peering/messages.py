"""The messages that gateways exchange as datagrams, and their encoding."""

import enum
import itertools
import json
import math
import zlib
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from lentilhaven.core.converter import CONVERTER
from lentilhaven.core.ip_address import is_address
from lentilhaven.core.json_numbers import to_integer
from lentilhaven.core.store_position import StorePosition
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.endpoint_history import EndpointChanges
from lentilhaven.peering.bounds import MAX_ENTRIES, is_name
from lentilhaven.peering.member import Member
from lentilhaven.peering.queue_state import (
    QueueState,
    decode_queues,
    decode_unread,
    encode_queues,
    rounded_amounts,
)
from lentilhaven.peering.subject import Incarnation, Subject, SubjectKind

#: zlib compression level; the fastest, which is enough for text that repeats the
#: names of endpoints.
COMPRESSION_LEVEL = 1

#: Largest distance of an observation: it is 0 for a gateway's own, 1 for one that
#: another gateway has reported of itself, 2 for one in the sum of a data centre, and 3
#: for one in the sum of all.
MAX_DISTANCE = 3

#: Largest decompressed datagram that is accepted, in bytes; many times what the
#: largest fleet sends.
MAX_DECODED_BYTES = 1 << 20

#: Errors by which a malformed datagram shows.
MALFORMED = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
    ArithmeticError,
    RecursionError,
    zlib.error,
)


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
class BreakerState:
    """
    The refusal of a subject that ends endpoints, as a datagram states it.

    Attributes
    ----------
    age : float
        Seconds since the last end of an endpoint under the subject.
    left : float
        Seconds until the subject may be tried again.
    trials : int
        Number of trials that have begun.
    """

    age: float
    left: float
    trials: int


@attrs.frozen
class LimitState:
    """
    The request rate that an endpoint names as its limit, as a datagram states it.

    Attributes
    ----------
    rate : float
        Requests per second that the endpoint takes from all gateways together.
    age : float
        Seconds since the last answer that named the limit.
    over : float or None
        Seconds since the first later answer that named none; None if there was none.
    """

    rate: float
    age: float
    over: float | None = None


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
    unreached : tuple of (str, int) or None
        Incarnations of endpoints to which the sender's own links are gone; None from a
        release that connects no other gateway to endpoints.
    attempts : dict or None
        Requests per second that the gateways in the sum try to send, by service; None
        from a release that does not tell.
    sent : dict
        Requests that they sent in the last `SENT_WINDOW` to each endpoint that names a
        limit, by endpoint.
    limits : dict
        Limits that endpoints have named, by incarnation.
    leaving : tuple of (str, int)
        Incarnations of endpoints that have recently said that they are leaving.
    prompt_ends, request_ends : dict
        Seconds since the end of endpoints that ended before they answered, by part of
        the prompt or by request, and incarnation.
    prompt_proofs, request_proofs : dict
        Seconds since the last answer, by part of the prompt or by request, for those
        under which endpoints have ended.
    breakers : dict
        Refusals of parts of prompts and of requests.
    ended : dict
        Seconds since endpoints were seen to have ended, by incarnation.
    queues : dict
        What the gateways in the sum have waiting and have started, by service; only
        sent for services with either.
    unread : dict
        Layer-tokens of prompts that were sent to an endpoint and are not yet read, by
        endpoint; only sent for endpoints that have some.
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
    unreached: tuple[Incarnation, ...] | None = None
    attempts: dict[str, float] | None = None
    sent: dict[str, int] = attrs.field(factory=dict)
    limits: dict[Incarnation, LimitState] = attrs.field(factory=dict)
    leaving: tuple[Incarnation, ...] = ()
    prompt_ends: dict[Subject, dict[Incarnation, float]] = attrs.field(factory=dict)
    prompt_proofs: dict[Subject, float] = attrs.field(factory=dict)
    request_ends: dict[Subject, dict[Incarnation, float]] = attrs.field(factory=dict)
    request_proofs: dict[Subject, float] = attrs.field(factory=dict)
    breakers: dict[Subject, BreakerState] = attrs.field(factory=dict)
    ended: dict[Incarnation, float] = attrs.field(factory=dict)
    queues: dict[str, QueueState] = attrs.field(factory=dict)
    unread: dict[str, float] = attrs.field(factory=dict)

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
    scarcity = {
        "queues": encode_queues(message.queues),
        "unread": rounded_amounts(message.unread),
    }
    for name, value in scarcity.items():
        # Without scarcity a datagram stays as short as one of the release before.
        del fields[name]
        if value:
            fields[name] = value
    fields["changes"] = encode_changes(message.changes)
    fields["leaving"] = [list(incarnation) for incarnation in message.leaving]
    if message.unreached is not None:
        fields["unreached"] = [list(incarnation) for incarnation in message.unreached]
    for name in ("prompt_ends", "request_ends"):
        fields[name] = encode_ends(fields[name])
    for name in ("prompt_proofs", "request_proofs"):
        fields[name] = [(it.service, it.name, age) for it, age in fields[name].items()]
    fields["breakers"] = [
        (it.kind.value, it.service, it.name, state.age, state.left, state.trials)
        for it, state in message.breakers.items()
    ]
    fields["limits"] = [
        (*incarnation, limit.rate, limit.age, limit.over)
        for incarnation, limit in message.limits.items()
    ]
    fields["ended"] = [
        (*incarnation, age) for incarnation, age in message.ended.items()
    ]
    text = json.dumps(fields, separators=(",", ":")).encode()
    return zlib.compress(text, COMPRESSION_LEVEL)


def encode_ends(ends: dict[Subject, dict[Incarnation, float]]) -> list[Any]:
    """Encode the ages of ends of endpoints, by subjects of one kind."""
    return [
        (
            it.service,
            it.name,
            [(*incarnation, age) for incarnation, age in ages.items()],
        )
        for it, ages in ends.items()
    ]


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
        fields: dict[str, Any] = DECODER.decode(decompress(data).decode())
        era = decode_optional_int(fields.get("era"))
        return PeerMessage(
            vm=str(fields["vm"]),
            run=str(fields["run"]),
            address=decode_address(fields["address"]),
            number=int(fields["number"]),
            scope=Scope(fields["scope"]),
            data_centre=str(fields["data_centre"]),
            capacity=decode_finite(fields["capacity"]),
            gateways=to_integer(fields["gateways"]),
            relay=str(fields["relay"]),
            manifest_revision=int(fields["manifest_revision"]),
            endpoints_revision=int(fields["endpoints_revision"]),
            digest=str(fields["digest"]),
            checked=decode_finite(fields["checked"]),
            loads={
                str(name): (to_integer(load[0]), decode_finite(load[1]))
                for name, load in fields["loads"].items()
            },
            pipes={
                str(name): decode_finite(rate) for name, rate in fields["pipes"].items()
            },
            heard={
                str(name): decode_finite(age) for name, age in fields["heard"].items()
            },
            suspects={
                str(name): (decode_finite(ages[0]), decode_finite(ages[1]))
                for name, ages in fields["suspects"].items()
            },
            members=tuple(decode_members(fields["members"])),
            changes=decode_changes(fields["changes"], era or 0),
            wants_answer=bool(fields["wants_answer"]),
            ready=bool(fields["ready"]),
            places=bool(fields["places"]),
            era=era,
            manifest_version=decode_optional_int(fields.get("manifest_version")),
            paces={
                str(name): (decode_finite(pace[0]), decode_finite(pace[1]))
                for name, pace in fields.get("paces", {}).items()
            },
            unreached=decode_unreached(fields.get("unreached")),
            attempts=decode_attempts(fields.get("attempts")),
            sent={
                str(name): max(0, to_integer(count))
                for name, count in fields.get("sent", {}).items()
            },
            limits=decode_limits(fields.get("limits", ())),
            leaving=tuple(
                (str(name), int(born)) for name, born in fields.get("leaving", ())
            ),
            prompt_ends=decode_ends(SubjectKind.PART, fields.get("prompt_ends", ())),
            prompt_proofs=decode_proofs(
                SubjectKind.PART, fields.get("prompt_proofs", ())
            ),
            request_ends=decode_ends(
                SubjectKind.REQUEST, fields.get("request_ends", ())
            ),
            request_proofs=decode_proofs(
                SubjectKind.REQUEST, fields.get("request_proofs", ())
            ),
            breakers={
                Subject(str(service), str(name), SubjectKind(kind)): BreakerState(
                    decode_age(age), decode_finite(left), int(trials)
                )
                for kind, service, name, age, left, trials in valid_entries(
                    fields.get("breakers", ()), 1, 2
                )
            },
            ended=decode_ages(fields.get("ended", ())),
            queues=decode_queues(fields.get("queues")),
            unread=decode_unread(fields.get("unread")),
        )
    except MALFORMED:
        return None


def decode_address(value: Any) -> str:
    """
    Decode an address to which datagrams are sent.

    Raises
    ------
    ValueError
        If nothing can be sent to it.
    """
    address = str(value)
    if not is_address(address):
        raise ValueError("no address")
    return address


def decode_members(value: Iterable[Any]) -> Iterator[Member]:
    """Yield the listed gateways, without those to which nothing can be sent."""
    for address, data_centre, capacity in value:
        if is_address(str(address)):
            yield Member(str(address), str(data_centre), decode_finite(capacity))


def reject_constant(name: str) -> None:
    """Reject `NaN` and infinity, which would remain in every sum."""
    raise ValueError(f"{name} is no number")


DECODER = json.JSONDecoder(parse_constant=reject_constant)


def decode_ends(
    kind: SubjectKind, value: Iterable[Any]
) -> dict[Subject, dict[Incarnation, float]]:
    """Decode the ages of ends of endpoints, by subjects of one kind."""
    return {
        Subject(str(service), str(name), kind): decode_ages(ages)
        for service, name, ages in valid_entries(value, 0, 1)
    }


def decode_proofs(kind: SubjectKind, value: Iterable[Any]) -> dict[Subject, float]:
    """Decode the ages of proofs of subjects of one kind."""
    return {
        Subject(str(service), str(name), kind): decode_age(age)
        for service, name, age in valid_entries(value, 0, 1)
    }


def decode_ages(value: Iterable[Any]) -> dict[Incarnation, float]:
    """Decode ages by incarnation of an endpoint."""
    return {
        (str(name), int(born)): decode_age(age)
        for name, born, age in valid_entries(value, 0)
    }


def decode_unreached(value: Iterable[Any] | None) -> tuple[Incarnation, ...] | None:
    """Decode incarnations of endpoints; None stays None."""
    if value is None:
        return None
    return tuple((str(name), int(born)) for name, born in valid_entries(value, 0))


def decode_attempts(value: dict[str, Any] | None) -> dict[str, float] | None:
    """Decode the requests per second by service; None stays None."""
    if value is None:
        return None
    return {str(name): decode_age(rate) for name, rate in value.items()}


def decode_limits(value: Iterable[Any]) -> dict[Incarnation, LimitState]:
    """Decode the limits that endpoints have named, by incarnation."""
    return {
        (str(name), int(born)): LimitState(
            decode_age(rate),
            decode_age(age),
            None if over is None else decode_age(over),
        )
        for name, born, rate, age, over in valid_entries(value, 0)
    }


def valid_entries(value: Iterable[Any], *names: int) -> Iterator[Any]:
    """
    Yield the first entries of a list, without those whose names are no valid names.

    Parameters
    ----------
    value : iterable
        The list.
    *names : int
        Indices of the names in each entry.

    Examples
    --------
    >>> list(valid_entries([["a", 1], ["a" * 1000, 2]], 0))
    [['a', 1]]
    """
    for entry in itertools.islice(value, MAX_ENTRIES):
        if all(is_name(str(entry[index])) for index in names):
            yield entry


def decode_age(value: Any) -> float:
    """Decode the seconds since an event, which is not in the future."""
    return max(0.0, decode_finite(value))


def decode_finite(value: Any) -> float:
    """
    Decode a number.

    Raises
    ------
    TypeError, ValueError
        If it is no finite number.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value} is not finite")
    return number


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
