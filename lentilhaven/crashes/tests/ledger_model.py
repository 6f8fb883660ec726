"""
A model of a fleet in which requests end endpoints, without a network.

Events are played in the order of their times.  Only the ledgers are the real ones: each
gateway records what its runs show, refuses by its ledger, and exchanges evidence as
`lentilhaven.gateway.crash_checks` does.
"""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterator

import attrs

from lentilhaven.crashes.ledger import CrashLedger
from lentilhaven.peering.subject import Incarnation, Subject, SubjectKind

#: Time at which a run begins, in seconds.
START_TIME = 1000.0

#: Seconds between two datagrams to the same gateway, and before an urgent one.
SEND_INTERVAL, URGENT_DELAY = 0.1, 0.01

#: Largest number of gateways that each send to all others.
SMALL_FLEET = 6

#: Number of times that a caller repeats a failed request, and of attempts of a gateway.
CALLER_RETRIES, MAX_ATTEMPTS = 1, 2


@attrs.frozen(eq=False)
class Traffic:
    """
    Requests that a caller sends.

    Attributes
    ----------
    name : str
        Name, from which the digests are made.
    rate : float
        Requests a second.
    start, stop : float
        Seconds between which they are sent.
    seconds : tuple of float
        Limits of the time that an answer takes.
    service : str
        Service that runs them.
    is_hot : bool
        Whether all of them are the same request.
    part : str
        Id of a part of their prompts; empty for none.
    crash : tuple of float or None
        Limits of the seconds after which a run ends its endpoint; None for sound ones.
    may_repeat : bool
        Whether a gateway runs a lost request a second time.
    """

    name: str
    rate: float
    start: float = 0.0
    stop: float = 1e9
    seconds: tuple[float, float] = (0.02, 0.1)
    service: str = "lookup"
    is_hot: bool = False
    part: str = ""
    crash: tuple[float, float] | None = None
    may_repeat: bool = True

    def subjects(self, number: int) -> tuple[Subject, ...]:
        """Return the subjects of a request."""
        name = self.name if self.is_hot else f"{self.name}-{number}"
        request = Subject(self.service, name, SubjectKind.REQUEST)
        if not self.part:
            return (request,)
        return (request, Subject(self.service, self.part))

    def culprit(self) -> Subject | None:
        """Return what ends the endpoints."""
        if self.crash is None:
            return None
        return self.subjects(0)[-1]


@attrs.define(eq=False)
class ModelCall:
    """A request at a gateway, its endpoints so far, and what its failure does."""

    traffic: Traffic
    subjects: tuple[Subject, ...]
    gateway: "ModelGateway"
    sent_at: float
    fail: Callable[[], None]
    tried: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class Run:
    """A run of a request on an endpoint, with the subjects that it may still accuse."""

    call: ModelCall
    subjects: tuple[Subject, ...]
    done: bool = False


@attrs.define(eq=False)
class ModelEndpoint:
    """An endpoint of a service."""

    name: str
    service: str
    born: int = 1
    is_up: bool = True
    runs: list[Run] = attrs.field(factory=list)

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation that is or was up last."""
        return self.name, self.born


@attrs.define(eq=False)
class ModelGateway:
    """A gateway with its ledger, and those to which it sends datagrams."""

    number: int
    ledger: CrashLedger
    receivers: list[tuple["ModelGateway", int]] = attrs.field(factory=list)
    is_urgent: bool = False


@attrs.define(eq=False)
class Findings:
    """
    What has happened.

    Attributes
    ----------
    crashes : dict
        Times of the crashes that each subject has caused.
    arrivals : dict
        Times at which requests with each such subject arrived at endpoints.
    refused : dict
        Times at which sound requests were refused, by subject and traffic.
    served, failed : dict
        Times at which requests were sent that were answered or not, by traffic.
    """

    crashes: dict[Subject, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    arrivals: dict[Subject, list[float]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    refused: dict[tuple[Subject, str], list[float]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    served: dict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    failed: dict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))

    def third_crash(self, subject: Subject) -> float:
        """Return the time of the third crash by a subject; infinity if none."""
        times = self.crashes[subject]
        return times[2] if len(times) > 2 else float("inf")

    def arrivals_between(self, subject: Subject, first: float, last: float) -> int:
        """Return the arrivals between two numbers of seconds after the third crash."""
        third = self.third_crash(subject)
        return sum(third + first < it <= third + last for it in self.arrivals[subject])

    def refusals(self) -> dict[tuple[Subject, str], tuple[int, float]]:
        """
        Return how often and how long sound traffic was refused.

        These are the number of refusals and the longest time in seconds between two of
        them without an answer in between, by subject and traffic.
        """
        found = {}
        for (subject, traffic), times in self.refused.items():
            answered = sorted(self.served[traffic]) if subject.name == traffic else []
            longest = 0.0
            limits = [times[0], *(it for it in answered if it > times[0]), times[-1]]
            for first, last in itertools.pairwise(limits):
                between = [it for it in times if first <= it <= last]
                if between:
                    longest = max(longest, between[-1] - between[0])
            found[subject, traffic] = len(times), longest
        return found

    def served_share(self, traffic: str, start: float, end: float) -> float:
        """Return the share of requests sent between two times that were answered."""
        served = sum(start <= it < end for it in self.served[traffic])
        failed = sum(start <= it < end for it in self.failed[traffic])
        return served / (served + failed) if served + failed else 1.0


@attrs.define(eq=False)
class Model:
    """
    The fleet.

    Attributes
    ----------
    random : random.Random
        Source of all random choices.
    gateways : list of ModelGateway
        The gateways.
    endpoints : dict
        Endpoints, by service.
    down_time : float
        Seconds after which a crashed endpoint is back.
    loss : float
        Share of datagrams that are lost.
    delay : float
        Longest time that a datagram is in transit, in seconds.
    notice_time : float
        Longest time after which a gateway notices a loss, in seconds.
    """

    random: random.Random
    gateways: list[ModelGateway]
    endpoints: dict[str, list[ModelEndpoint]]
    down_time: float = 2.0
    loss: float = 0.0
    delay: float = 0.03
    notice_time: float = 0.02
    now: float = START_TIME
    findings: Findings = attrs.field(factory=Findings)
    events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    order: Iterator[int] = attrs.field(factory=itertools.count)

    def after(self, seconds: float, play: Callable[[], None]) -> None:
        """Play an event after some seconds."""
        heapq.heappush(self.events, (self.now + seconds, next(self.order), play))

    def run(self, until: float) -> Findings:
        """Play all events until a time."""
        for gateway in self.gateways:
            self.after(self.random.uniform(0, SEND_INTERVAL), self.ticking(gateway))
        while self.events and self.events[0][0] <= until:
            self.now, _, play = heapq.heappop(self.events)
            play()
        return self.findings

    # Gateways.

    def ticking(self, gateway: ModelGateway) -> Callable[[], None]:
        """Return the event by which a gateway sends its datagrams from now on."""

        def tick() -> None:
            gateway.ledger.refute_ends({}, self.now)
            self.send_evidence(gateway)
            self.after(SEND_INTERVAL, tick)

        return tick

    def notify(self, gateway: ModelGateway) -> None:
        """Let a gateway send its datagrams soon."""

        def send() -> None:
            gateway.is_urgent = False
            self.send_evidence(gateway)

        if not gateway.is_urgent:
            gateway.is_urgent = True
            self.after(URGENT_DELAY, send)

    def send_evidence(self, gateway: ModelGateway) -> None:
        """Send what a gateway knows to its receivers."""
        ledger = gateway.ledger
        if ledger.is_empty:
            return
        ends, proofs = {}, {}
        distances = {distance for _, distance in gateway.receivers}
        for kind in SubjectKind:
            ends |= ledger.sent_ends(kind, self.now)
            for distance in distances:
                found = ledger.sent_proofs(kind, self.now, distance)
                proofs.setdefault(distance, {}).update(found)
        breakers = ledger.sent_breakers(self.now)
        for receiver, distance in gateway.receivers:
            if self.random.random() >= self.loss:
                self.after(
                    self.random.uniform(0.0, self.delay),
                    self.receiving(
                        receiver, ends, proofs[distance], breakers, distance
                    ),
                )

    def receiving(self, gateway, ends, proofs, breakers, distance):
        """Return the event by which a gateway receives a datagram."""

        def receive() -> None:
            ledger, now = gateway.ledger, self.now
            for subject, age in proofs.items():
                ledger.note_proof(subject, now - age, distance)
            news = [
                ledger.note_end(subject, incarnation, now - age)
                for subject, ages in ends.items()
                for incarnation, age in ages.items()
            ]
            news += [
                ledger.adopt_breaker(subject, state, now)
                for subject, state in breakers.items()
            ]
            if any(news) and len(self.gateways) > SMALL_FLEET:
                self.notify(gateway)

        return receive

    # Requests.

    def send_traffic(self, traffic: Traffic) -> None:
        """Send the requests of a caller."""
        numbers = itertools.count()

        def send() -> None:
            if self.now < START_TIME + traffic.stop:
                self.send(traffic, traffic.subjects(next(numbers)))
                self.after(self.random.expovariate(traffic.rate), send)

        self.after(traffic.start, send)

    def send(
        self,
        traffic: Traffic,
        subjects: tuple[Subject, ...],
        retries: int = CALLER_RETRIES,
    ) -> None:
        """Send a request to a gateway; its caller repeats it if it fails."""
        gateway, sent_at = self.random.choice(self.gateways), self.now

        def fail() -> None:
            if retries:
                again = self.random.uniform(0.05, 0.6)
                self.after(again, lambda: self.send(traffic, subjects, retries - 1))
            else:
                self.findings.failed[traffic.name].append(sent_at)

        call = ModelCall(traffic, subjects, gateway, sent_at, fail)
        if self.is_refused(call):
            fail()
        else:
            self.after(self.random.uniform(0.0, 0.01), lambda: self.attempt(call))

    def attempt(self, call: ModelCall) -> None:
        """Run a request on an endpoint that has not run it."""
        ledger = call.gateway.ledger
        free = [
            it
            for it in self.endpoints[call.traffic.service]
            if it.is_up and it.name not in call.tried
        ]
        if self.is_refused(call) or not free:
            call.fail()
            return
        if ledger.begin_trials(call.subjects, self.now):
            self.notify(call.gateway)
        endpoint = self.random.choice(free)
        call.tried.append(endpoint.name)
        self.begin_run(call, endpoint)

    def attempt_again(self, call: ModelCall) -> None:
        """Run a lost request a second time if it may be repeated."""
        may_repeat = call.traffic.may_repeat and len(call.tried) < MAX_ATTEMPTS
        if may_repeat and not call.gateway.ledger.forbids_repeat(call.subjects):
            self.attempt(call)
        else:
            call.fail()

    def is_refused(self, call: ModelCall) -> bool:
        """Return whether a gateway refuses a request, and record that."""
        refusal = call.gateway.ledger.find_refusal(call.subjects, self.now)
        if refusal is not None and call.traffic.crash is None:
            key = refusal.subject, call.traffic.name
            self.findings.refused[key].append(self.now)
        return refusal is not None

    def begin_run(self, call: ModelCall, endpoint: ModelEndpoint) -> None:
        """Run a request on an endpoint."""
        run = Run(call, call.subjects)
        endpoint.runs.append(run)
        if call.traffic.crash is not None:
            self.begin_crash(call.traffic, endpoint)
            return
        seconds = self.random.uniform(*call.traffic.seconds)
        self.after(min(0.2, seconds / 2), lambda: self.begin_answer(run))
        self.after(seconds, lambda: self.end_answer(run, endpoint))

    def begin_crash(self, traffic: Traffic, endpoint: ModelEndpoint) -> None:
        """Record the arrival of a request that ends its endpoint soon."""
        culprit, born = traffic.culprit(), endpoint.born
        self.findings.arrivals[culprit].append(self.now)

        def crash() -> None:
            if endpoint.is_up and endpoint.born == born:
                self.findings.crashes[culprit].append(self.now)
                self.crash(endpoint)

        self.after(self.random.uniform(*traffic.crash), crash)

    def begin_answer(self, run: Run) -> None:
        """Let an answer begin, which proves the parts of the prompt."""
        if not run.done:
            for part in run.call.subjects[1:]:
                run.call.gateway.ledger.note_proof(part, self.now)
            run.subjects = run.call.subjects[:1]

    def end_answer(self, run: Run, endpoint: ModelEndpoint) -> None:
        """Let an answer be whole, which proves the request."""
        if not run.done:
            run.done = True
            endpoint.runs.remove(run)
            for subject in run.call.subjects:
                run.call.gateway.ledger.note_proof(subject, self.now)
            self.findings.served[run.call.traffic.name].append(run.call.sent_at)

    # Endpoints.

    def crash(self, endpoint: ModelEndpoint) -> None:
        """End an endpoint with its runs; it is back after a while."""
        endpoint.is_up = False
        lost, endpoint.runs = endpoint.runs, []
        for run in lost:
            run.done = True
            self.after(
                self.random.uniform(0.0, self.notice_time),
                self.noticing(run, endpoint.incarnation),
            )

        def come_back() -> None:
            endpoint.born += 1
            endpoint.is_up = True

        self.after(self.down_time, come_back)

    def noticing(self, run: Run, incarnation: Incarnation) -> Callable[[], None]:
        """Return the event by which a gateway notices the loss of a run."""

        def notice() -> None:
            for subject in run.subjects:
                run.call.gateway.ledger.note_end(subject, incarnation, self.now)
            self.notify(run.call.gateway)
            self.attempt_again(run.call)

        return notice


def make_gateways(count: int, source: random.Random) -> list[ModelGateway]:
    """
    Return the gateways of a fleet.

    In a large one every fifth is the leader of its data centre, which exchanges sums
    with the other leaders.
    """
    gateways = [ModelGateway(number, CrashLedger()) for number in range(count)]
    if count <= SMALL_FLEET:
        for gateway in gateways:
            gateway.receivers = [(it, 1) for it in gateways if it is not gateway]
        return gateways
    leaders = gateways[::5]
    for gateway in gateways:
        leader = gateways[gateway.number - gateway.number % 5]
        if gateway is leader:
            others = [(it, 2) for it in leaders if it is not leader]
            group = gateways[leader.number + 1 : leader.number + 5]
            gateway.receivers = others + [(it, 3) for it in group]
        else:
            gateway.receivers = [(leader, 1)]
    return gateways
