"""The known gateways, and the leaders of each data centre."""

from itertools import islice

import attrs

from lentilhaven.peering.member import Member

#: Largest number of gateways at which each one sends its datagrams to all others.
#: In a larger fleet only the leaders receive them, since with a full mesh the traffic
#: that each gateway receives grows with the fleet.
FULL_MESH_LIMIT = 12

#: Number of gateways of a data centre that collect the datagrams of the others there;
#: two, so that the loss of one leader leaves no gap.
LEADERS_PER_DATA_CENTRE = 2

#: Seconds without an answer after which a gateway counts as unresponsive, so that
#: another one takes over as leader.
ANSWER_TIMEOUT = 1.0

#: Seconds after which an unresponsive gateway is tried again.
RETRY_DELAY = 10.0

#: Seconds without a mention or datagram after which a gateway is removed.
MEMBER_EXPIRY = 60.0


@attrs.define
class DirectoryEntry:
    """
    A gateway with the times at which it was last seen.

    Attributes
    ----------
    member : Member
        The gateway.
    last_seen_at : float
        Time of its last datagram, or of the last datagram that lists it, in
        seconds of the event loop.
    unanswered_since : float or None
        Event loop time, in seconds, at which the first datagram that has no answer
        yet was sent to the gateway; None if no answer is outstanding.
    """

    member: Member
    last_seen_at: float
    unanswered_since: float | None = None

    def is_responsive(self, now: float) -> bool:
        """
        Return whether the gateway is expected to answer.

        An unresponsive gateway counts as responsive again after `RETRY_DELAY`, so that
        it is tried again.
        """
        if self.unanswered_since is None:
            return True
        silent = now - self.unanswered_since
        return silent < ANSWER_TIMEOUT or silent > RETRY_DELAY


@attrs.define
class Directory:
    """
    The other gateways, with leader selection for each data centre.

    Attributes
    ----------
    own : Member
        This gateway.
    entries : dict
        `DirectoryEntry` by address.
    full_mesh_limit : int
        Largest number of gateways at which each one sends to all others.
    ranking : dict or None
        Entries by data centre, this gateway's included, in the order in which they
        lead; None once the members have changed.

    Examples
    --------
    >>> directory = Directory(Member("10.0.0.2:7", "a", 1.0), full_mesh_limit=2)
    >>> directory.note_member(Member("10.0.0.1:7", "a", 1.0), now=0.0)
    >>> directory.note_member(Member("10.0.0.3:7", "a", 2.0), now=0.0)
    >>> [leader.address for leader in directory.leaders("a", now=0.0)]
    ['10.0.0.3:7', '10.0.0.1:7']
    >>> directory.is_leader(now=0.0)
    False
    """

    own: Member
    entries: dict[str, DirectoryEntry] = attrs.field(factory=dict)
    full_mesh_limit: int = FULL_MESH_LIMIT
    ranking: dict[str, list[DirectoryEntry]] | None = None

    def note_member(self, member: Member, now: float) -> None:
        """Add another gateway or refresh its entry; this gateway is never added."""
        if member.address == self.own.address:
            return
        entry = self.entries.get(member.address)
        if entry is None:
            self.entries[member.address] = DirectoryEntry(member, now)
            self.ranking = None
            return
        entry.last_seen_at = now
        if member.data_centre and member != entry.member:
            entry.member = member
            self.ranking = None

    def note_received(self, member: Member, now: float) -> None:
        """Record a datagram from a gateway, which counts as its answer."""
        self.note_member(member, now)
        if member.address in self.entries:
            self.entries[member.address].unanswered_since = None

    def note_sent(self, address: str, now: float) -> None:
        """Record a datagram to a gateway, which is expected to answer."""
        entry = self.entries.get(address)
        if entry is None:
            return
        since = entry.unanswered_since
        if since is None or now - since > RETRY_DELAY + ANSWER_TIMEOUT:
            entry.unanswered_since = now

    def expire(self, now: float) -> None:
        """Remove gateways that were not seen for `MEMBER_EXPIRY`."""
        for address, entry in list(self.entries.items()):
            if now - entry.last_seen_at > MEMBER_EXPIRY:
                del self.entries[address]
                self.ranking = None

    def addresses(self) -> list[str]:
        """Return the addresses of all other known gateways."""
        return list(self.entries)

    def is_remote(self, address: str) -> bool:
        """Return whether a gateway is known to be in another data centre."""
        entry = self.entries.get(address)
        known = entry.member.data_centre if entry else ""
        return known not in ("", self.own.data_centre)

    def leaders(
        self, data_centre: str, now: float, count: int = LEADERS_PER_DATA_CENTRE
    ) -> list[Member]:
        """
        Return the leaders of a data centre.

        Parameters
        ----------
        data_centre : str
            The data centre.
        now : float
            Time of the event loop, in seconds.
        count : int
            Maximum number of gateways to return; a count above
            `LEADERS_PER_DATA_CENTRE` adds the next candidates in order.
        """
        if self.ranking is None:
            self.ranking = self.rank_entries()
        responsive = (
            entry.member
            for entry in self.ranking.get(data_centre, ())
            if entry.is_responsive(now)
        )
        return list(islice(responsive, count))

    def rank_entries(self) -> dict[str, list[DirectoryEntry]]:
        """Return the entries by data centre, in the order in which they lead."""
        # This gateway is sent nothing, so that its entry is always responsive.
        own = DirectoryEntry(self.own, 0.0)
        ranking: dict[str, list[DirectoryEntry]] = {}
        for entry in sorted(
            [own, *self.entries.values()], key=lambda entry: entry.member.sort_key
        ):
            ranking.setdefault(entry.member.data_centre, []).append(entry)
        return ranking

    def is_leader(self, now: float) -> bool:
        """Return whether this gateway is a leader of its data centre."""
        return self.own in self.leaders(self.own.data_centre, now)

    def data_centres(self) -> set[str]:
        """Return the data centres that have gateways."""
        found = {entry.member.data_centre for entry in self.entries.values()}
        return (found | {self.own.data_centre}) - {""}
