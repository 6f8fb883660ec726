"""The gateways that are known, and which of them lead their data centre."""

import attrs

from lentilhaven.peering.member import Member

#: Gateways up to which each one sends its datagrams to all others.  Beyond it what
#: each receives would grow with the fleet.
SMALL_FLEET = 12

#: Gateways of a data centre that gather the datagrams of the others there; two,
#: so that the loss of one leaves no gap.
LEADERS = 2

#: Seconds without an answer after which another gateway leads.
QUIET = 1.0

#: Seconds after which one that did not answer is tried again.
RETRY = 10.0

#: Seconds without a datagram after which a gateway is forgotten.
FORGET = 60.0


@attrs.define
class Listed:
    """
    A member with what was seen of it.

    Attributes
    ----------
    member : Member
        The member.
    named_at : float
        When it was last heard of, in seconds of the event loop.
    unanswered_since : float or None
        When the first datagram was sent to it that has no answer.
    """

    member: Member
    named_at: float
    unanswered_since: float | None = None

    def answers(self, now: float) -> bool:
        """Return whether it is thought to answer."""
        if self.unanswered_since is None:
            return True
        silent = now - self.unanswered_since
        return silent < QUIET or silent > RETRY


@attrs.define
class Directory:
    """
    The other gateways.

    Attributes
    ----------
    own : Member
        This gateway.
    listed : dict
        `Listed` by address.
    small_fleet : int
        Gateways up to which all talk to all.

    Examples
    --------
    >>> directory = Directory(Member("10.0.0.2:7", "a", 1.0), small_fleet=2)
    >>> directory.name(Member("10.0.0.1:7", "a", 1.0), now=0.0)
    >>> directory.name(Member("10.0.0.3:7", "a", 2.0), now=0.0)
    >>> [it.address for it in directory.leaders("a", now=0.0)]
    ['10.0.0.3:7', '10.0.0.1:7']
    >>> directory.leads(now=0.0)
    False
    """

    own: Member
    listed: dict[str, Listed] = attrs.field(factory=dict)
    small_fleet: int = SMALL_FLEET

    def name(self, member: Member, now: float) -> None:
        """Note that a gateway was named by another one."""
        if member.address == self.own.address:
            return
        known = self.listed.get(member.address)
        if known is None:
            self.listed[member.address] = Listed(member, now)
            return
        known.named_at = now
        if member.data_centre:
            known.member = member

    def note_heard(self, member: Member, now: float) -> None:
        """Note a datagram of a gateway."""
        self.name(member, now)
        if member.address in self.listed:
            self.listed[member.address].unanswered_since = None

    def note_sent(self, address: str, now: float) -> None:
        """Note a datagram to a gateway, which should answer."""
        known = self.listed.get(address)
        if known is None:
            return
        since = known.unanswered_since
        if since is None or now - since > RETRY + QUIET:
            known.unanswered_since = now

    def expire(self, now: float) -> None:
        """Forget gateways that were not heard of for long."""
        for address, known in list(self.listed.items()):
            if now - known.named_at > FORGET:
                del self.listed[address]

    def addresses(self) -> list[str]:
        """Return the addresses of all other gateways that are known."""
        return list(self.listed)

    def leaders(
        self, data_centre: str, now: float, count: int = LEADERS
    ) -> list[Member]:
        """Return the gateways that lead a data centre, or would be next to."""
        found = [
            it.member
            for it in self.listed.values()
            if it.member.data_centre == data_centre and it.answers(now)
        ]
        if data_centre == self.own.data_centre:
            found.append(self.own)
        return sorted(found, key=lambda it: it.order)[:count]

    def leads(self, now: float) -> bool:
        """Return whether this gateway leads its data centre."""
        return self.own in self.leaders(self.own.data_centre, now)

    def data_centres(self) -> set[str]:
        """Return the data centres with gateways."""
        found = {it.member.data_centre for it in self.listed.values()}
        return (found | {self.own.data_centre}) - {""}
