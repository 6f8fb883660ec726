"""What a gateway has to say to the others."""

import uuid

import attrs

from lentilhaven.gateway.endpoint_board import EndpointState
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.peering.load_sums import LoadSums
from lentilhaven.peering.member import Member
from lentilhaven.peering.news import PeerNews, Scope

#: Gateways named at random in a datagram, so that new ones find all others.
MEMBERS_NAMED = 3

#: Leaders and next ones named for each data centre.
LEADERS_NAMED = 4

#: Datagrams without load.
UNCOUNTED = (Scope.PROBE, Scope.MEMBERS)


@attrs.define(eq=False)
class NewsComposer:
    """
    Makes datagrams.

    Attributes
    ----------
    gateway : Gateway
        State of the process.
    run : str
        Unique id of this process.
    number : int
        Datagrams made.
    heard_told : dict
        When each endpoint was last heard of as it was last told, by scope and id.
    """

    gateway: Gateway
    run: str = attrs.field(factory=lambda: uuid.uuid4().hex[:12])
    number: int = 0
    heard_told: dict[tuple[Scope, str], float] = attrs.field(factory=dict)

    def compose(self, scope: Scope, now: float) -> PeerNews:
        """
        Return a datagram.

        Parameters
        ----------
        scope : Scope
            Whose load it sums up.
        now : float
            Time of the event loop.
        """
        gateway = self.gateway
        peers, view = gateway.peers, gateway.view
        summary = scope in (Scope.DATA_CENTRE, Scope.FLEET)
        states = self.known_states()
        sums = self.sum_up(scope, states, now)
        checked = gateway.checked_at
        if summary:
            checked = max(checked, gateway.others_checked_at)
        self.number += 1
        return PeerNews(
            vm=peers.vm,
            run=self.run,
            address=peers.own.address,
            number=self.number,
            scope=scope,
            data_centre=peers.own.data_centre,
            capacity=peers.own.capacity,
            gateways=self.count(scope, now),
            relay=gateway.settings.peers,
            manifest_revision=view.manifest_revision,
            endpoints_revision=view.endpoints_revision,
            digest=gateway.digest,
            checked=round(min(1e6, now - checked), 3),
            loads={
                name: (count, round(sums.tokens[name]))
                for name, count in sums.requests.items()
            },
            pipes={name: round(rate) for name, rate in sums.pipes.items()},
            heard=self.heard(scope, states, now),
            suspects=suspects_of(states, now, summary),
            members=self.members(scope, now),
            changes=view.history.latest(view.monotonic()) if summary else None,
            ready=gateway.ready,
            places=gateway.places() or self.hears_placer(scope, now),
        )

    def known_states(self) -> dict[str, EndpointState]:
        """Return what was seen of each endpoint that is known, by id."""
        states = self.gateway.board.states
        return {
            endpoint.id: state
            for endpoint in self.gateway.view.endpoints.values()
            if (state := states.get(endpoint.incarnation)) is not None
        }

    def hears_placer(self, scope: Scope, now: float) -> bool:
        """
        Return whether a gateway that a datagram sums up holds the lease.

        Only what gateways say of themselves and what sums of data centres say
        counts: sums of all repeat each other's, and would never forget a holder.
        """
        peers = self.gateway.peers
        if scope not in (Scope.DATA_CENTRE, Scope.FLEET):
            return False
        found = [it.news for it in peers.reporting_nearby()]
        if scope is Scope.FLEET:
            found += peers.other_data_centres(now)
        return any(news.places for news in found)

    def count(self, scope: Scope, now: float) -> int:
        """Return how many gateways a datagram sums up."""
        peers = self.gateway.peers
        if scope is Scope.FLEET:
            return peers.reporting(now)
        if scope is Scope.DATA_CENTRE:
            return 1 + len(peers.reporting_nearby())
        return 1

    def sum_up(
        self, scope: Scope, states: dict[str, EndpointState], now: float
    ) -> LoadSums:
        """Return the load that a datagram tells."""
        peers = self.gateway.peers
        if scope in UNCOUNTED:
            return LoadSums()
        sums = self.own_load(states, now)
        if scope is Scope.OWN:
            peers.told = sums
        elif scope is Scope.FLEET:
            sums.merge(peers.others(now))
        else:
            for peer in peers.reporting_nearby():
                sums.add(peer.news)
        return sums

    def own_load(self, states: dict[str, EndpointState], now: float) -> LoadSums:
        """Return the load of this gateway's own requests."""
        sums = LoadSums()
        for name, state in states.items():
            if state.requests:
                sums.requests[name] = state.requests
                sums.tokens[name] = round(state.state_tokens)
        for pipe, rate in self.gateway.pipes.current(now).items():
            sums.pipes[pipe] = round(rate)
        return sums

    def heard(
        self, scope: Scope, states: dict[str, EndpointState], now: float
    ) -> dict[str, float]:
        """Return how long ago endpoints were heard of, if since the last time."""
        found: dict[str, float] = {}
        if scope in UNCOUNTED:
            return found
        for name, state in states.items():
            at = state.own_heard_at if scope is Scope.OWN else state.heard_at
            if at > self.heard_told.get((scope, name), 0.0):
                self.heard_told[(scope, name)] = at
                found[name] = round(now - at, 3)
        return found

    def members(self, scope: Scope, now: float) -> tuple[Member, ...]:
        """Return gateways that others should know."""
        gateway = self.gateway
        directory = gateway.peers.directory
        known = [it.member for it in directory.listed.values()]
        count = min(MEMBERS_NAMED, len(known))
        found = set(gateway.random.sample(known, count))
        if scope in (Scope.FLEET, Scope.MEMBERS):
            for data_centre in directory.data_centres():
                found.update(directory.leaders(data_centre, now, LEADERS_NAMED))
        return tuple(sorted(found, key=lambda it: it.order))


def suspects_of(
    states: dict[str, EndpointState], now: float, all_of_them: bool
) -> dict[str, tuple[float, float]]:
    """
    Return the endpoints that are suspected.

    Parameters
    ----------
    states : dict
        What was seen of endpoints, by id.
    now : float
        Time of the event loop.
    all_of_them : bool
        Whether those count that other gateways have noticed.

    Returns
    -------
    dict
        Seconds since which each is suspected and for which it still is.
    """
    return {
        name: (
            round(now - state.suspected_since, 3),
            round(state.suspected_until - now, 3),
        )
        for name, state in states.items()
        if state.suspected_until > now and (all_of_them or state.own_suspicion)
    }
