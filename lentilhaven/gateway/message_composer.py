"""Composes the datagrams that a gateway sends to the others."""

import math
import uuid

import attrs

from lentilhaven.gateway.endpoint_states import EndpointState
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.peering.load_sums import LoadSums
from lentilhaven.peering.local_demand import sum_local_demand
from lentilhaven.peering.member import Member
from lentilhaven.peering.messages import (
    MAX_ENTRIES,
    LimitState,
    PeerMessage,
    Scope,
)
from lentilhaven.peering.subject import Incarnation, SubjectKind

#: Number of randomly chosen gateways listed in a datagram, so that new gateways learn
#: of all others.
RANDOM_MEMBERS = 3

#: Number of leaders and next candidates listed for each data centre.
MEMBERS_PER_DATA_CENTRE = 4

#: Scopes of datagrams that report no load.
SCOPES_WITHOUT_LOAD = (Scope.PROBE, Scope.MEMBERS)


@attrs.define(eq=False)
class MessageComposer:
    """
    Composes datagrams from the state of a gateway.

    Attributes
    ----------
    gateway : Gateway
        State of the process.
    run : str
        Unique id of this process.
    number : int
        Sequence number of the last datagram.
    reported_heard_at : dict
        Event loop time of the latest event of an endpoint that a datagram has
        reported, in seconds, by scope and endpoint id.
    """

    gateway: Gateway
    run: str = attrs.field(factory=lambda: uuid.uuid4().hex[:12])
    number: int = 0
    reported_heard_at: dict[tuple[Scope, str], float] = attrs.field(factory=dict)

    def compose(self, scope: Scope, now: float) -> PeerMessage:
        """
        Return the next datagram of a scope, and record what it reports.

        Parameters
        ----------
        scope : Scope
            The gateways whose load the datagram sums up.
        now : float
            Time of the event loop, in seconds.
        """
        gateway = self.gateway
        peers, view = gateway.peers, gateway.view
        ledger = gateway.crash_ledger
        is_sum = scope in (Scope.DATA_CENTRE, Scope.FLEET)
        states = self.endpoint_states()
        sums = self.sum_load(scope, states, now)
        checked_at = gateway.store_read_at
        if is_sum:
            checked_at = max(checked_at, gateway.peers_store_read_at)
        self.number += 1
        return PeerMessage(
            vm=peers.vm,
            run=self.run,
            address=peers.own.address,
            number=self.number,
            scope=scope,
            data_centre=peers.own.data_centre,
            capacity=peers.own.capacity,
            gateways=self.count_gateways(scope, now),
            relay=gateway.settings.peers,
            manifest_revision=view.manifest_position.revision,
            endpoints_revision=view.endpoints_position.revision,
            digest=gateway.digest,
            checked=round(min(1e6, now - checked_at), 3),
            loads={
                name: (count, round(sums.token_layers[name]))
                for name, count in sums.requests.items()
            },
            pipes={name: round(rate) for name, rate in sums.pipes.items()},
            heard=self.heard_ages(scope, states, now),
            suspects=suspicions(states, now, scope.distance),
            members=self.listed_members(scope, now),
            changes=view.history.recent_changes(view.monotonic()) if is_sum else None,
            ready=gateway.ready,
            places=gateway.holds_placement_lease() or self.sum_has_placer(scope, now),
            era=view.endpoints_position.era,
            manifest_version=view.manifest.version if view.manifest else 0,
            paces=stated_paces(states, now, scope.distance),
            unreached=self.unreached(states),
            attempts=known_attempts(sums),
            local_attempts=sum_local_demand(peers, gateway.own_demand(now), now)
            if scope is Scope.FLEET
            else None,
            sent=dict(sums.sent),
            limits=self.named_limits(states, now, scope.distance),
            leaving=view.leaving.recent(view.monotonic()),
            prompt_ends=ledger.sent_ends(SubjectKind.PART, now, scope),
            prompt_proofs=ledger.sent_proofs(SubjectKind.PART, now, scope.distance),
            request_ends=ledger.sent_ends(SubjectKind.REQUEST, now, scope),
            request_proofs=ledger.sent_proofs(SubjectKind.REQUEST, now, scope.distance),
            breakers=ledger.sent_breakers(now),
            ended=ledger.sent_ended(now),
            queues=sums.queues.states(),
            unread=dict(sums.queues.unread),
        )

    def endpoint_states(self) -> dict[str, EndpointState]:
        """Return the observed state of each endpoint in the view, by id."""
        states = self.gateway.endpoint_states.states
        return {
            endpoint.id: state
            for endpoint in self.gateway.view.endpoints.values()
            if (state := states.get(endpoint.incarnation)) is not None
        }

    def sum_has_placer(self, scope: Scope, now: float) -> bool:
        """
        Return whether a gateway in the sum of a datagram holds the placement lease.

        Only reports of single gateways and sums of data centres count.  Sums over
        all gateways repeat each other's claim, so that a former holder would never
        be forgotten.
        """
        peers = self.gateway.peers
        if scope not in (Scope.DATA_CENTRE, Scope.FLEET):
            return False
        messages = [peer.message for peer in peers.local_peers()]
        if scope is Scope.FLEET:
            messages += peers.other_data_centre_sums(now)
        return any(message.places for message in messages)

    def count_gateways(self, scope: Scope, now: float) -> int:
        """Return how many gateways a datagram sums up."""
        peers = self.gateway.peers
        if scope is Scope.FLEET:
            return peers.count_reporting(now)
        if scope is Scope.DATA_CENTRE:
            return 1 + len(peers.local_peers())
        return 1

    def sum_load(
        self, scope: Scope, states: dict[str, EndpointState], now: float
    ) -> LoadSums:
        """
        Return the load that a datagram reports.

        The own load is also stored as `PeerTable.reported_load`, which is later
        subtracted from sums over all gateways.
        """
        peers = self.gateway.peers
        if scope in SCOPES_WITHOUT_LOAD:
            return LoadSums()
        sums = self.own_load(states, now)
        if scope is Scope.OWN:
            peers.reported_load = sums
        elif scope is Scope.FLEET:
            sums.merge(peers.load_of_others(now))
        else:
            for peer in peers.local_peers():
                sums.add(peer.message)
        return sums

    def own_load(self, states: dict[str, EndpointState], now: float) -> LoadSums:
        """Return the load of this gateway's own requests."""
        sums = LoadSums()
        for name, state in states.items():
            if state.requests:
                sums.requests[name] = state.requests
                sums.token_layers[name] = round(state.kv_token_layers)
            if state.named_limit is not None and (sent := state.count_sent(now)):
                sums.sent[name] = sent
        sums.attempts.update(self.gateway.own_demand(now))
        for pipe, rate in self.gateway.link_traffic.current(now).items():
            sums.pipes[pipe] = round(rate)
        sums.queues.add_own(self.gateway.queue_states(), self.gateway.unread())
        return sums

    def named_limits(
        self, states: dict[str, EndpointState], now: float, distance: int
    ) -> dict[Incarnation, LimitState]:
        """Return the limits in force that endpoints have named, by incarnation."""
        endpoints = self.gateway.view.endpoints
        return {
            endpoints[name].incarnation: LimitState(
                named.rate,
                round(now - named.named_at, 3),
                None if named.over_since is None else round(now - named.over_since, 3),
            )
            for name, state in states.items()
            if (named := state.named_limit) is not None
            and named.distance < distance
            and state.current_limit(now) < math.inf
        }

    def unreached(self, states: dict[str, EndpointState]) -> tuple[Incarnation, ...]:
        """Return endpoints to which this gateway's own links are gone."""
        endpoints = self.gateway.view.endpoints
        found = [
            endpoints[name].incarnation
            for name, state in states.items()
            if state.unreached_since is not None
        ]
        return tuple(found[:MAX_ENTRIES])

    def heard_ages(
        self, scope: Scope, states: dict[str, EndpointState], now: float
    ) -> dict[str, float]:
        """
        Return the seconds since the last event of endpoints, by id.

        Only endpoints with an event since the previous datagram of the same scope
        are included; these events are recorded as reported.
        """
        ages: dict[str, float] = {}
        if scope in SCOPES_WITHOUT_LOAD:
            return ages
        for name, state in states.items():
            at = state.heard_within[scope.distance - 1]
            if at > self.reported_heard_at.get((scope, name), 0.0):
                self.reported_heard_at[(scope, name)] = at
                ages[name] = round(now - at, 3)
        return ages

    def listed_members(self, scope: Scope, now: float) -> tuple[Member, ...]:
        """Return the gateways that a datagram lists for its receivers."""
        gateway = self.gateway
        directory = gateway.peers.directory
        known = [entry.member for entry in directory.entries.values()]
        count = min(RANDOM_MEMBERS, len(known))
        listed = set(gateway.random.sample(known, count))
        if scope in (Scope.FLEET, Scope.MEMBERS):
            for data_centre in directory.data_centres():
                listed.update(
                    directory.leaders(data_centre, now, MEMBERS_PER_DATA_CENTRE)
                )
        return tuple(sorted(listed, key=lambda member: member.sort_key))


def known_attempts(sums: LoadSums) -> dict[str, float] | None:
    """Return the attempts of a sum; None if some of its gateways do not tell theirs."""
    return None if sums.untold else dict(sums.attempts)


def stated_paces(
    states: dict[str, EndpointState], now: float, distance: int
) -> dict[str, tuple[float, float]]:
    """
    Return the slowdowns that slow endpoints have stated.

    Parameters
    ----------
    states : dict
        Observed state of endpoints, by id.
    now : float
        Time of the event loop.
    distance : int
        Distance that the statements have for the receiver.

    Returns
    -------
    dict
        Slowdown and seconds since it was stated, by id.
    """
    return {
        name: (round(state.slowdown, 2), round(now - state.pace_at, 3))
        for name, state in states.items()
        if state.pace_distance < distance and state.current_slowdown(now) > 1.0
    }


def suspicions(
    states: dict[str, EndpointState], now: float, distance: int
) -> dict[str, tuple[float, float]]:
    """
    Return the suspected endpoints.

    Parameters
    ----------
    states : dict
        Observed state of endpoints, by id.
    now : float
        Time of the event loop.
    distance : int
        Distance that the suspicions have for the receiver.

    Returns
    -------
    dict
        Seconds since the suspicion began and seconds until it ends, by id.
    """
    found = {
        name: state.suspicion_within(distance - 1)
        for name, state in states.items()
        if state.suspected_until > now
    }
    return {
        name: (round(now - since, 3), round(until - now, 3))
        for name, (since, until) in found.items()
        if until > now
    }
