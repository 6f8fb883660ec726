"""What a gateway has waiting and has started for a service, as datagrams state it."""

import itertools
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs

from lentilhaven.core.json_numbers import MAX_INTEGER, is_count
from lentilhaven.peering.bounds import MAX_ENTRIES, is_name

#: Maximum number of workspaces, counted once for each priority, that a datagram names
#: for each service.
MAX_HEAVY = 8

#: Maximum number of priorities that are read for each service.
MAX_PRIORITIES = 32

#: Maximum number of endpoints of which unread prompts are read.
MAX_UNREAD = 4096

#: Largest amount of tokens, layer-tokens or tokens per second that is read.  Sums over
#: thousands of gateways of multiples of `RESOLUTION` up to this are exact, so that a
#: gateway which is added to a sum and subtracted again leaves nothing behind.
MAX_AMOUNT = 1e9

#: Smallest difference between two amounts in a datagram, a power of two.
RESOLUTION = 1 / 8

#: Amounts from here on are sent as whole numbers, which take fewer bytes.
WHOLE_FROM = 8.0


@attrs.frozen
class QueueState:
    """
    The queue of one service at one gateway, or the sum over several gateways.

    Attributes
    ----------
    waiting : dict
        Number of waiting requests and their tokens, by priority.
    started : dict
        Tokens per second of the requests that have been started, by priority.
    heavy : tuple of (str, int, float)
        Workspaces for which most has been started, each with the priority and the
        tokens per second; at most `MAX_HEAVY`, the heaviest first.

    Examples
    --------
    >>> state = QueueState({0: (1, 800.0)}, {0: 12.3}, (("depot", 0, 12.3),))
    >>> state.rounded()
    QueueState(waiting={0: (1, 800)}, started={0: 12}, heavy=(('depot', 0, 12),))
    """

    waiting: dict[int, tuple[int, float]] = attrs.field(factory=dict)
    started: dict[int, float] = attrs.field(factory=dict)
    heavy: tuple[tuple[str, int, float], ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to report."""
        return not (self.waiting or self.started or self.heavy)

    def rounded(self) -> "QueueState":
        """Return the state as a datagram states it: rounded, and without zeros."""
        heavy = [(name, key, round_amount(rate)) for name, key, rate in self.heavy]
        waiting = {
            key: (count, round_amount(tokens))
            for key, (count, tokens) in self.waiting.items()
            if count
        }
        return QueueState(
            most_urgent(waiting),
            most_urgent(rounded_amounts(self.started)),
            tuple(entry for entry in heavy if entry[2])[:MAX_HEAVY],
        )


@attrs.frozen
class QueueReport:
    """
    What other gateways report of their queues of one service.

    Attributes
    ----------
    state : QueueState or None
        The queues; None if the gateway is of a release that does not report them.
    age : float
        Seconds since the datagram arrived.
    gateways : int
        Number of gateways whose queues are in `state`.
    """

    state: QueueState | None
    age: float
    gateways: int = 1


def heaviest(
    rates: Mapping[tuple[str, int], float],
) -> tuple[tuple[str, int, float], ...]:
    """
    Return the largest rates in the form of `QueueState.heavy`.

    Parameters
    ----------
    rates : mapping
        Tokens per second, by workspace and priority.

    Examples
    --------
    >>> heaviest({("depot", 0): 5.0, ("quay", 2): 9.0})
    (('quay', 2, 9.0), ('depot', 0, 5.0))
    """
    order = sorted(rates.items(), key=lambda item: (-item[1], item[0]))
    return tuple((name, key, rate) for (name, key), rate in order[:MAX_HEAVY])


def most_urgent(by_priority: Mapping[int, Any]) -> dict[int, Any]:
    """Return the values of the `MAX_PRIORITIES` most urgent priorities, in order."""
    return dict(sorted(by_priority.items())[:MAX_PRIORITIES])


def round_amount(amount: float) -> float:
    """Return an amount as a datagram states it: a multiple of `RESOLUTION`."""
    bounded = min(max(amount, 0.0), MAX_AMOUNT)
    if bounded >= WHOLE_FROM:
        return round(bounded)
    return round(bounded / RESOLUTION) * RESOLUTION


def rounded_amounts(amounts: Mapping[Any, float]) -> dict[Any, float]:
    """Return amounts as a datagram states them, without those that round to zero."""
    found = {key: round_amount(amount) for key, amount in amounts.items()}
    return {key: amount for key, amount in found.items() if amount}


def encode_queues(queues: Mapping[str, QueueState]) -> dict[str, Any]:
    """
    Return the queues by service as a datagram states them, without empty ones.

    Examples
    --------
    >>> encode_queues({"gen": QueueState({0: (1, 800.0)}), "stock": QueueState()})
    {'gen': [[[0, 1, 800]], [], []]}
    """
    rounded = {name: state.rounded() for name, state in queues.items()}
    return {
        name: [
            [[key, *waiting] for key, waiting in state.waiting.items()],
            [[key, rate] for key, rate in state.started.items()],
            [list(entry) for entry in state.heavy],
        ]
        for name, state in rounded.items()
        if not state.is_empty
    }


def decode_queues(value: Any) -> dict[str, QueueState]:
    """
    Decode the queues by service, without malformed entries and empty queues.

    Examples
    --------
    >>> decode_queues({"gen": [[[0, 1, 800], [1, -1, 5]], 7]})
    {'gen': QueueState(waiting={0: (1, 800)}, started={}, heavy=())}
    """
    if not isinstance(value, dict):
        return {}
    found = {
        name: decode_state(parts)
        for name, parts in itertools.islice(value.items(), MAX_ENTRIES)
        if is_name(name) and isinstance(parts, list)
    }
    return {name: state for name, state in found.items() if not state.is_empty}


def decode_state(parts: list[Any]) -> QueueState:
    """Decode the queue of one service."""
    waiting, started, heavy = (*parts, None, None, None)[:3]
    return QueueState(
        {
            key: (count, round_amount(tokens))
            for key, count, tokens in entries_of_length(waiting, 3, MAX_PRIORITIES)
            if is_priority(key) and is_count(count) and count and is_amount(tokens)
        },
        {
            key: round_amount(rate)
            for key, rate in entries_of_length(started, 2, MAX_PRIORITIES)
            if is_priority(key) and is_positive(rate)
        },
        tuple(
            (name, key, round_amount(rate))
            for name, key, rate in entries_of_length(heavy, 3, MAX_HEAVY)
            if isinstance(name, str)
            and is_name(name)
            and is_priority(key)
            and is_positive(rate)
        ),
    )


def decode_unread(value: Any) -> dict[str, float]:
    """Decode the unread layer-tokens by endpoint, without malformed entries."""
    if not isinstance(value, dict):
        return {}
    return {
        name: round_amount(amount)
        for name, amount in itertools.islice(value.items(), MAX_UNREAD)
        if is_name(name) and is_positive(amount)
    }


def entries_of_length(value: Any, length: int, limit: int) -> Iterator[list[Any]]:
    """Yield those of the first entries of a list that are lists of some length."""
    if not isinstance(value, list):
        return
    entries: Iterable[Any] = itertools.islice(value, limit)
    for entry in entries:
        if isinstance(entry, list) and len(entry) == length:
            yield entry


def is_priority(value: Any) -> bool:
    """Return whether a value is an integer that readers of JSON agree on."""
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and abs(value) <= MAX_INTEGER
    )


def is_amount(value: Any) -> bool:
    """
    Return whether a value is a number from 0 to `MAX_AMOUNT`.

    Examples
    --------
    >>> [is_amount(it) for it in (7, 0.5, -1, float("nan"), 1e300, True, "7")]
    [True, True, False, False, False, False, False]
    """
    return (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and 0 <= value <= MAX_AMOUNT
    )


def is_positive(value: Any) -> bool:
    """Return whether a value is an amount that does not round to zero."""
    return is_amount(value) and round_amount(value) > 0.0
