"""Sums of the queues of several gateways."""

from collections.abc import Hashable, Mapping
from typing import Any

import attrs

from lentilhaven.peering.queue_state import QueueState, heaviest, rounded_amounts


@attrs.define
class ServiceQueueSums:
    """
    The sum of the queues of one service.

    Attributes
    ----------
    counts, tokens : dict
        Number of waiting requests and their tokens, by priority.
    started : dict
        Tokens per second of the started requests, by priority.
    heavy : dict
        Tokens per second of the started requests of those workspaces that datagrams
        name, by workspace and priority.
    """

    counts: dict[int, int] = attrs.field(factory=dict)
    tokens: dict[int, float] = attrs.field(factory=dict)
    started: dict[int, float] = attrs.field(factory=dict)
    heavy: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def add(self, state: QueueState, sign: int = 1) -> None:
        """Add a queue, or subtract it if `sign` is -1."""
        for key, (count, tokens) in state.waiting.items():
            add_amount(self.counts, key, sign * count)
            add_amount(self.tokens, key, sign * tokens)
        for key, rate in state.started.items():
            add_amount(self.started, key, sign * rate)
        for name, key, rate in state.heavy:
            add_amount(self.heavy, (name, key), sign * rate)

    def merge(self, other: "ServiceQueueSums") -> None:
        """Add another sum to this one."""
        for own, others in self.pairs(other):
            for key, amount in others.items():
                add_amount(own, key, amount)

    def subtract(self, other: "ServiceQueueSums") -> None:
        """
        Subtract another sum, but nothing below zero.

        A sum over all gateways may hold an earlier datagram of this one, and only the
        heaviest workspaces.
        """
        for own, others in self.pairs(other):
            for key, amount in others.items():
                if key in own:
                    add_amount(own, key, -min(amount, own[key]))

    def pairs(self, other: "ServiceQueueSums") -> list[tuple[dict, Mapping]]:
        """Return each of the dicts beside that of another sum."""
        return [
            (self.counts, other.counts),
            (self.tokens, other.tokens),
            (self.started, other.started),
            (self.heavy, other.heavy),
        ]

    def state(self) -> QueueState:
        """Return the sum as a datagram states it."""
        waiting = {
            key: (count, self.tokens.get(key, 0.0))
            for key, count in self.counts.items()
        }
        return QueueState(waiting, dict(self.started), heaviest(self.heavy))


@attrs.define
class QueueSums:
    """
    The sum of the queues of several gateways, and of the prompts not yet read.

    Attributes
    ----------
    services : dict
        `ServiceQueueSums` by service.
    unread : dict
        Layer-tokens of prompts that were sent and are not yet read, by endpoint.

    Examples
    --------
    >>> sums = QueueSums()
    >>> sums.add({"gen": QueueState({0: (1, 800.0)})}, {"e": 40.0})
    >>> sums.state_of("gen").waiting, sums.unread
    ({0: (1, 800.0)}, {'e': 40.0})
    """

    services: dict[str, ServiceQueueSums] = attrs.field(factory=dict)
    unread: dict[str, float] = attrs.field(factory=dict)

    def add(
        self,
        queues: Mapping[str, QueueState],
        unread: Mapping[str, float],
        sign: int = 1,
    ) -> None:
        """Add what a datagram reports, or subtract it if `sign` is -1."""
        for service, state in queues.items():
            self.service(service).add(state, sign)
        for endpoint, amount in unread.items():
            add_amount(self.unread, endpoint, sign * amount)

    def add_own(
        self, queues: Mapping[str, QueueState], unread: Mapping[str, float]
    ) -> None:
        """Add the state of this gateway, as its datagrams state it."""
        rounded = {service: state.rounded() for service, state in queues.items()}
        self.add(rounded, rounded_amounts(unread))

    def merge(self, other: "QueueSums") -> None:
        """Add another sum to this one."""
        for service, sums in other.services.items():
            self.service(service).merge(sums)
        for endpoint, amount in other.unread.items():
            add_amount(self.unread, endpoint, amount)

    def subtract(self, other: "QueueSums") -> None:
        """Subtract another sum, but nothing below zero."""
        for service, sums in other.services.items():
            self.service(service).subtract(sums)
        for endpoint, amount in other.unread.items():
            if endpoint in self.unread:
                reported = self.unread[endpoint]
                add_amount(self.unread, endpoint, -min(amount, reported))

    def service(self, name: str) -> ServiceQueueSums:
        """Return the sum of a service, and create it if needed."""
        return self.services.setdefault(name, ServiceQueueSums())

    def state_of(self, service: str) -> QueueState:
        """Return the sum of a service as a datagram states it."""
        sums = self.services.get(service)
        return sums.state() if sums is not None else QueueState()

    def states(self) -> dict[str, QueueState]:
        """Return the sums by service, without empty ones."""
        found = {name: sums.state() for name, sums in self.services.items()}
        return {name: state for name, state in found.items() if not state.is_empty}


def add_amount(amounts: dict[Any, Any], key: Hashable, amount: float) -> None:
    """Add to one of several amounts, and drop it once it is zero."""
    total = amounts.get(key, 0) + amount
    if total:
        amounts[key] = total
    else:
        amounts.pop(key, None)
