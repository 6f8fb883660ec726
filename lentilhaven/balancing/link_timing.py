"""Detection of slow links from the time between tokens."""

from collections import deque

import attrs

from lentilhaven.pipelines.range_group import GroupMember, LinkKey

#: Age up to which samples are kept, in seconds.
SAMPLE_WINDOW = 0.5

#: Minimum number of samples for a decision on a link.
MIN_SAMPLES = 3

#: A link is slow if even its fastest recent token took this many times the mean.
SLOW_RATIO = 2.0

#: Time between tokens up to which a token never counts as slow, in seconds.
MIN_SLOW_GAP = 0.06

#: Time for which a slow link is avoided before it is tried again, in seconds.
AVOID_TIME = 10.0

#: Weight of a new sample in the mean time between tokens.
MEAN_GAP_WEIGHT = 0.01


@attrs.define
class LinkTiming:
    """
    Recent times between tokens, by link.

    A slow link delays every path that uses it, while a healthy link has some fast
    paths even if others are slow.  The fastest recent token of each link therefore
    identifies the slow link, although no link is timed on its own.

    Attributes
    ----------
    samples : dict
        Pairs of monotonic time and time between tokens, in seconds, by link.
    mean_gap : float
        Moving average of the time between tokens over all links, in seconds;
        0 before the first sample.
    avoided_until : dict
        Monotonic time until which a slow link is avoided, in seconds, by link.

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
    mean_gap: float = 0.0
    avoided_until: dict[LinkKey, float] = attrs.field(factory=dict)

    def observe(self, links: list[LinkKey], gap: float, now: float) -> None:
        """
        Record the time between two tokens of a path, and avoid links that are slow.

        Parameters
        ----------
        links : list of LinkKey
            Links that the path uses.
        gap : float
            Time between the tokens, in seconds.
        now : float
            Monotonic time, in seconds.
        """
        threshold = self.slow_threshold()
        weight = MEAN_GAP_WEIGHT if self.mean_gap else 1.0
        # A slow token counts as the threshold, so that slow links raise the mean less.
        self.mean_gap += weight * (min(gap, threshold) - self.mean_gap)
        for link in links:
            recent = self.samples.setdefault(link, deque(maxlen=64))
            recent.append((now, gap))
            if gap > threshold and self.is_slow(recent, threshold, now):
                self.avoided_until[link] = now + AVOID_TIME

    def slow_threshold(self) -> float:
        """Return the time between tokens above which a token is slow, in seconds."""
        if not self.mean_gap:
            return float("inf")
        return max(MIN_SLOW_GAP, SLOW_RATIO * self.mean_gap)

    def is_slow(self, recent: deque, threshold: float, now: float) -> bool:
        """Drop old samples; return whether `MIN_SAMPLES` are left and all are slow."""
        while recent and recent[0][0] < now - SAMPLE_WINDOW:
            recent.popleft()
        return len(recent) >= MIN_SAMPLES and all(gap > threshold for _, gap in recent)

    def slow_links(self, now: float) -> frozenset[LinkKey]:
        """
        Return the slow links, which are to be avoided.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        if not self.avoided_until:
            return frozenset()
        self.avoided_until = {
            link: end for link, end in self.avoided_until.items() if end > now
        }
        return frozenset(self.avoided_until)


def inter_data_centre_links(path: list[GroupMember]) -> list[LinkKey]:
    """
    Return the links between data centres that a path uses.

    Parameters
    ----------
    path : list of GroupMember
        Path whose links are returned.
    """
    return [
        LinkKey(successor.layers.start, member.data_centre, successor.data_centre)
        for member, successor in zip(path, path[1:], strict=False)
        if member.data_centre != successor.data_centre
    ]
