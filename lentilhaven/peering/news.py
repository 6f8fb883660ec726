"""The datagrams between gateways."""

import json
from typing import Any

import attrs


@attrs.frozen
class PeerNews:
    """
    What one gateway says.

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
    relay : str
        ``IP:PORT`` at which it passes on what it knows.
    manifest_revision, endpoints_revision : int
        What it knows.
    digest : str
        Of the endpoints that it knows.
    checked : float
        Seconds since it last read all of that from the store.
    loads : dict
        Requests under way and their tokens times layers, by endpoint.
    pipes : dict
        Tokens per second that its requests send through each pipe.
    heard : dict
        Seconds since an event has come from an endpoint, for those from which one
        has come since the last datagram.
    suspects : dict
        Seconds since which an endpoint is suspected and for which it still is,
        by endpoint.
    members : tuple of str
        Addresses of some other gateways.
    ready : bool
        Whether it serves callers.
    places : bool
        Whether it holds the lease for placement.
    """

    vm: str
    run: str
    address: str
    number: int
    relay: str = ""
    manifest_revision: int = 0
    endpoints_revision: int = 0
    digest: str = ""
    checked: float = 1e6
    loads: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    pipes: dict[str, float] = attrs.field(factory=dict)
    heard: dict[str, float] = attrs.field(factory=dict)
    suspects: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    members: tuple[str, ...] = ()
    ready: bool = True
    places: bool = False


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
    fields = attrs.asdict(news)
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_news(data: bytes) -> PeerNews | None:
    """
    Decode a datagram; None if it is not one.

    Examples
    --------
    >>> decode_news(b"[1]")
    """
    try:
        fields: dict[str, Any] = json.loads(data)
        return PeerNews(
            vm=str(fields["vm"]),
            run=str(fields["run"]),
            address=str(fields["address"]),
            number=int(fields["number"]),
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
            members=tuple(map(str, fields["members"])),
            ready=bool(fields["ready"]),
            places=bool(fields["places"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError, IndexError):
        return None
