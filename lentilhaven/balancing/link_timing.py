"""Notices slow links from the time between tokens."""

from collections import deque

import attrs

from lentilhaven.pipelines.range_group import LinkKey, Member

#: Seconds of samples that are kept.
WINDOW = 0.5

#: Fewest samples on a link before it is judged.
MIN_SAMPLES = 3

#: A link is slow if even its fastest recent token took this many times the usual.
SLOW_RATIO = 2.0

#: A token this fast is never called slow, in seconds.
FAST_ENOUGH = 0.06

#: Seconds for which a slow link is avoided before it is tried again.
AVOID_TIME = 10.0

#: Weight of a new token in the usual time between tokens.
USUAL_WEIGHT = 0.01


@attrs.define
class LinkTiming:
    """
    Recent times between tokens by link.

    A slow link slows every path over it, while a good one has some fast paths
    even if others are slow.  The fastest recent token of each link therefore
    tells which link is to blame, without timing any link by itself.

    Attributes
    ----------
    samples : dict
        Pairs of time and seconds between tokens, by link.
    usual : float
        Moving average over all links, in seconds; 0 before the first token.
    avoided : dict
        Time until which a link is avoided.

    Examples
    --------
    >>> timing = LinkTiming()
    >>> slow, fast = LinkKey(4, "a", "b"), LinkKey(4, "a", "a")
    >>> for step in range(20):
    ...     timing.observe([fast], 0.03, step / 10)
    ...     timing.observe([slow], 0.30 if step > 9 else 0.03, step / 10)
    >>> sorted(timing.slow_links(2.0)) == [slow]
    True
    """

    samples: dict[LinkKey, deque[tuple[float, float]]] = attrs.field(factory=dict)
    usual: float = 0.0
    avoided: dict[LinkKey, float] = attrs.field(factory=dict)

    def observe(self, links: list[LinkKey], gap: float, now: float) -> None:
        """
        Take in the time between two tokens of a path.

        Parameters
        ----------
        links : list of LinkKey
            Links of the path.
        gap : float
            Seconds between the tokens.
        now : float
            Monotonic time, in seconds.
        """
        limit = self.slow_limit()
        weight = USUAL_WEIGHT if self.usual else 1.0
        self.usual += weight * (min(gap, limit) - self.usual)
        for link in links:
            recent = self.samples.setdefault(link, deque(maxlen=64))
            recent.append((now, gap))
            if gap > limit and self.is_slow(recent, limit, now):
                self.avoided[link] = now + AVOID_TIME

    def slow_limit(self) -> float:
        """Return the seconds between tokens above which a token is slow."""
        if not self.usual:
            return float("inf")
        return max(FAST_ENOUGH, SLOW_RATIO * self.usual)

    def is_slow(self, recent: deque, limit: float, now: float) -> bool:
        """Return whether all recent tokens of a link were slow."""
        while recent and recent[0][0] < now - WINDOW:
            recent.popleft()
        return len(recent) >= MIN_SAMPLES and all(gap > limit for _, gap in recent)

    def slow_links(self, now: float) -> frozenset[LinkKey]:
        """
        Return the links to avoid.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        if not self.avoided:
            return frozenset()
        self.avoided = {link: end for link, end in self.avoided.items() if end > now}
        return frozenset(self.avoided)


def links_of(path: list[Member]) -> list[LinkKey]:
    """
    Return the links between data centres that a path takes.

    Parameters
    ----------
    path : list of Member
        The path.
    """
    return [
        LinkKey(later.layers.start, member.data_centre, later.data_centre)
        for member, later in zip(path, path[1:], strict=False)
        if member.data_centre != later.data_centre
    ]
