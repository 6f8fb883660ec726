"""Memory that the answers in progress of a process hold together."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs

#: Maximum size of the head of an answer, of its trailers, and of all interim heads
#: before it, in bytes, and maximum number of their fields.
MAX_HEAD_BYTES = 65_536
MAX_HEAD_FIELDS = 256

#: Maximum size of an answer that is held whole, in bytes.
MAX_ANSWER_BYTES = 16_000_000

#: Maximum size of one event of a stream, in bytes.
MAX_EVENT_BYTES = 1_000_000

#: Share of the VM's memory for the answers in progress.  An answer is copied while its
#: parts are joined and while it is sent, so that up to three times as much is in use.
MEMORY_SHARE = 0.125

#: Bytes for the answers in progress if the memory of the VM is not known.
DEFAULT_LIMIT = 64_000_000

#: Kind of the failure of an answer that is larger than one may be.
TOO_LARGE = "answer-too-large"

#: Kind of the failure of the largest answer when all together are too large.
NO_MEMORY = "answers-too-large"


@attrs.define(eq=False)
class Holding:
    """
    The bytes that are held for one answer.

    Attributes
    ----------
    give_up : callable
        Ends the answer, which frees the bytes; takes the kind of the failure and a
        description.
    size : int
        Number of bytes.
    is_open : bool
        Whether the answer is in progress.
    """

    give_up: Callable[[str, str], None]
    size: int = 0
    is_open: bool = True


@attrs.define(eq=False)
class AnswerMemory:
    """
    The bytes that all answers in progress hold, and their limit.

    If they exceed the limit, the largest answer is given up.  Answers without end are
    the largest soon, so that sound ones go on.

    Attributes
    ----------
    limit : int
        Maximum number of bytes.
    held : int
        Number of bytes held now.
    peak : int
        Largest number of bytes held after answers were given up.
    holdings : set of Holding
        The answers in progress.
    """

    limit: int = DEFAULT_LIMIT
    held: int = 0
    peak: int = 0
    holdings: set[Holding] = attrs.field(factory=set)

    @property
    def answer_limit(self) -> int:
        """Return the maximum size of an answer that is held whole, in bytes."""
        return min(MAX_ANSWER_BYTES, self.limit // 2)

    def open(self, give_up: Callable[[str, str], None]) -> Holding:
        """Return a new holding without bytes; `close` ends it."""
        holding = Holding(give_up)
        self.holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Free the bytes of a holding for good; it may have been closed before."""
        self.held -= holding.size
        holding.size = 0
        holding.is_open = False
        self.holdings.discard(holding)
        # The callback refers to the owner of the holding.
        holding.give_up = ignore

    def resize(self, holding: Holding, size: int) -> None:
        """
        Change the number of bytes that are held for an answer.

        Gives up the largest answers while all together exceed the limit.  A holding
        that was closed stays empty.
        """
        if not holding.is_open:
            return
        self.held += size - holding.size
        holding.size = size
        while self.held > self.limit:
            self.give_up_largest()
        if self.held > self.peak:
            self.peak = self.held

    def give_up_largest(self) -> None:
        """Give up the largest answer."""
        largest = max(self.holdings, key=lambda holding: holding.size)
        detail = f"all answers in progress hold more than {self.limit} bytes"
        largest.give_up(NO_MEMORY, detail)
        self.close(largest)

    @contextmanager
    def holding(self, size: int, give_up: Callable[[str, str], None]) -> Iterator[None]:
        """Hold a number of bytes until the context ends."""
        holding = self.open(give_up)
        try:
            self.resize(holding, size)
            yield
        finally:
            self.close(holding)


def ignore(kind: str, detail: str) -> None:
    """Do nothing; the answer has ended."""


def answer_memory_limit(vm_memory: int) -> int:
    """
    Return the limit of `AnswerMemory` for a VM's memory, both in bytes.

    Examples
    --------
    >>> answer_memory_limit(200_000_000)
    25000000
    >>> answer_memory_limit(0) == DEFAULT_LIMIT
    True
    """
    return int(vm_memory * MEMORY_SHARE) if vm_memory else DEFAULT_LIMIT
