"""A gateway's observations of each endpoint."""

import math
from collections import deque
from collections.abc import Iterator

import attrs

from lentilhaven.admission.slots import StatedLoad
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.peering.messages import MAX_DISTANCE
from lentilhaven.rate_limits import NamedLimit
from lentilhaven.rate_limits.decisions import SENT_WINDOW

#: Weight of the newest observation in an exponentially weighted moving average.
EWMA_WEIGHT = 0.15

#: Seconds for which a suspicion lasts unless activity of the endpoint refutes it.
#: Within three heartbeats, an endpoint that restarts is listed without layers, and one
#: that is gone is removed from the store's list.
SUSPICION_TIME = 4.0

#: Seconds from the start of a suspicion during which activity does not refute it: data
#: that was in transit when the endpoint failed still arrives.
REFUTE_MARGIN = 0.05

#: Largest distance of an observation that a gateway passes on.
MAX_PASSED_DISTANCE = MAX_DISTANCE - 1

#: Seconds for which a sound endpoint may be silent and then go on.
SOUND_SILENCE = 1.5

#: Start and end of a suspicion that does not exist.
NO_SUSPICION = (0.0, 0.0)

#: Seconds for which a stated pace is used.
PACE_EXPIRY = 4.0

#: Seconds by which a stated pace must be later to replace one from a nearer gateway:
#: more than datagrams are in transit.
PACE_MARGIN = 0.5

#: Seconds for which an endpoint gets no requests after it has refused one.
REFUSAL_BACKOFF = 0.3


@attrs.define(eq=False)
class EndpointState:
    """
    Observations of one incarnation of an endpoint.

    All points in time are times of the event loop, in seconds.

    Attributes
    ----------
    requests : int
        Number of this gateway's requests in flight at the endpoint.
    kv_token_layers : float
        KV memory that these requests need, in tokens times layers.
    latency : float
        Moving average of the time to an answer, in seconds; 0 if none is known.
    failures : float
        Moving average of the failure rate, from 0 to 1.
    slowdown : float
        Time that the endpoint takes, relative to the usual time of its kind, as it has
        last stated.
    pace_at : float
        Time at which it was last asked for that, by any gateway.
    pace_distance : int
        Distance of that observation.
    heard_at : float
        Time at which data last arrived at any gateway from the endpoint or through it.
    heard_within : list of float
        For each distance up to `MAX_PASSED_DISTANCE`, the time at which such data last
        arrived, as known from observations of at most that distance.
    suspected_until : float
        Time until which the endpoint is suspected and gets no requests.
    suspected_since : float
        Time at which the suspicion arose.
    first_suspected_at : float
        Time since which the endpoint has been suspected without a break.
    suspicions : list of (float, float)
        For each distance, the start and the end of the latest suspicion that arose
        from an observation of that distance; zeros if there is none.
    refused_until : float
        Time until which the endpoint gets no requests because it has refused one.
    paused_until : float
        Time until which the endpoint has asked this gateway for no requests at all.
    named_limit : NamedLimit or None
        Request rate that the endpoint has named as its limit, to any gateway; None if
        it has named none.
    stated : StatedLoad or None
        Load that the endpoint has stated in its last answer with one.
    unreached_since : float or None
        Time since which this gateway's own link to the endpoint is gone, while other
        gateways reach it; None while the link is there.
    link_checked_at : float
        Time at which the link was last checked.
    sent_at : deque of float
        Times at which this gateway sent it requests, in the last `SENT_WINDOW`.
    """

    requests: int = 0
    kv_token_layers: float = 0.0
    latency: float = 0.0
    failures: float = 0.0
    slowdown: float = 1.0
    pace_at: float = -PACE_EXPIRY
    pace_distance: int = 0
    heard_at: float = 0.0
    heard_within: list[float] = attrs.field(
        factory=lambda: [0.0] * (MAX_PASSED_DISTANCE + 1)
    )
    suspected_until: float = 0.0
    suspected_since: float = 0.0
    first_suspected_at: float = 0.0
    suspicions: list[tuple[float, float]] = attrs.field(
        factory=lambda: [NO_SUSPICION] * (MAX_DISTANCE + 1)
    )
    refused_until: float = 0.0
    paused_until: float = 0.0
    named_limit: NamedLimit | None = None
    stated: StatedLoad | None = None
    unreached_since: float | None = None
    link_checked_at: float = -math.inf
    sent_at: deque[float] = attrs.field(factory=deque)

    def record(self, seconds: float, failed: bool) -> None:
        """Update the averages with an attempt and the seconds that it took."""
        self.failures += EWMA_WEIGHT * (float(failed) - self.failures)
        known = self.latency or seconds
        self.latency = known + EWMA_WEIGHT * (seconds - known)

    def note_pace(self, slowdown: float, at: float, distance: int = 0) -> None:
        """
        Record the pace that the endpoint has stated.

        Parameters
        ----------
        slowdown : float
            As in `slowdown`.
        at : float
            Event loop time of the statement, in seconds.
        distance : int
            Distance of the observation; 0 if the endpoint told this gateway.
        """
        is_repeated = at < self.pace_at + PACE_MARGIN
        if distance and is_repeated and distance >= self.pace_distance:
            return
        self.slowdown, self.pace_at, self.pace_distance = slowdown, at, distance

    def current_slowdown(self, now: float) -> float:
        """Return `slowdown` if it was stated recently, else 1."""
        return self.slowdown if now - self.pace_at < PACE_EXPIRY else 1.0

    def note_heard(self, at: float, distance: int = 0) -> None:
        """
        Record that data arrived from the endpoint or through it.

        Data that arrived more than `REFUTE_MARGIN` after a suspicion arose ends the
        suspicion.

        Parameters
        ----------
        at : float
            Event loop time of the arrival, in seconds.
        distance : int
            Distance of the observation; 0 if the data arrived at this gateway.
        """
        self.heard_at = max(self.heard_at, at)
        for limit in range(distance, MAX_PASSED_DISTANCE + 1):
            self.heard_within[limit] = max(self.heard_within[limit], at)
        if self.suspected_until and at > self.suspected_since + REFUTE_MARGIN:
            self.suspicions = [NO_SUSPICION] * (MAX_DISTANCE + 1)
            self.suspected_until = 0.0

    def note_suspicion(self, since: float, until: float, distance: int = 0) -> bool:
        """
        Suspect the endpoint until a time, unless its activity ends the suspicion first.

        A suspicion that ends no later than the current one of the same distance changes
        nothing.

        Parameters
        ----------
        since : float
            Event loop time at which the suspicion arose, in seconds.
        until : float
            Event loop time at which the suspicion ends, in seconds.
        distance : int
            Distance of the observation; 0 if this gateway has detected the fault.

        Returns
        -------
        bool
            Whether the endpoint was not suspected at the time `since`.
        """
        fresh = self.suspected_until <= since
        if fresh:
            self.first_suspected_at = since
        if until > self.suspicions[distance][1]:
            self.suspicions[distance] = (since, until)
        self.suspected_since, self.suspected_until = self.suspicion_within(MAX_DISTANCE)
        return fresh

    def end_own_suspicion(self) -> None:
        """End the suspicion that arose at this gateway."""
        self.suspicions[0] = NO_SUSPICION
        self.suspected_since, self.suspected_until = self.suspicion_within(MAX_DISTANCE)

    def suspicion_within(self, distance: int) -> tuple[float, float]:
        """Return the suspicion of at most a distance that ends last."""
        return max(self.suspicions[: distance + 1], key=lambda found: found[1])

    def note_limit(self, named: NamedLimit) -> bool:
        """
        Record what the endpoint has named as its limit, to this gateway or another one.

        Returns
        -------
        bool
            Whether the endpoint takes fewer requests than was known.
        """
        known = self.current_limit(named.named_at)
        merged = self.named_limit.merge(named) if self.named_limit else named
        self.named_limit = merged
        return merged is named and named.rate < known

    def note_no_limit(self, now: float) -> None:
        """Record that an answer of the endpoint names no limit."""
        known = self.named_limit
        if known is not None and known.over_since is None:
            known.over_since = now

    def current_limit(self, now: float) -> float:
        """Return the requests per second that the endpoint takes; may be infinite."""
        return math.inf if self.named_limit is None else self.named_limit.current(now)

    def note_sent(self, now: float) -> None:
        """Count a request that is sent to the endpoint."""
        self.sent_at.append(now)
        self.count_sent(now)

    def count_sent(self, now: float) -> int:
        """Return how many requests were sent in the last `SENT_WINDOW`."""
        while self.sent_at and self.sent_at[0] <= now - SENT_WINDOW:
            self.sent_at.popleft()
        return len(self.sent_at)

    def is_lost(self, now: float) -> bool:
        """Return whether the suspicion has lasted for longer than `SOUND_SILENCE`."""
        is_suspected = now < self.suspected_until
        return is_suspected and now - self.first_suspected_at > SOUND_SILENCE

    def available(self, now: float) -> bool:
        """Return whether the endpoint may get a request."""
        return now >= self.unavailable_until

    @property
    def unavailable_until(self) -> float:
        """Return the time from which the endpoint may get requests."""
        return max(self.suspected_until, self.refused_until, self.paused_until)

    def next_changes(self, now: float) -> Iterator[float]:
        """Yield the times at which the endpoint may take more requests by itself."""
        if self.unavailable_until > now:
            yield self.unavailable_until
        elif self.named_limit is not None and self.sent_at:
            yield max(now, self.sent_at[0] + SENT_WINDOW)


@attrs.define
class EndpointStates:
    """
    The observed states of all endpoints.

    Attributes
    ----------
    states : dict
        `EndpointState` by incarnation.
    """

    states: dict[tuple[str, int], EndpointState] = attrs.field(factory=dict)

    def of(self, endpoint: Endpoint) -> EndpointState:
        """Return the state of an endpoint's incarnation, and create it if needed."""
        state = self.states.get(endpoint.incarnation)
        if state is None:
            state = self.states[endpoint.incarnation] = EndpointState()
        return state

    def remove_gone(self, live: set[tuple[str, int]]) -> None:
        """Remove states without requests whose incarnation is not in `live`."""
        for incarnation in self.states.keys() - live:
            if not self.states[incarnation].requests:
                del self.states[incarnation]
