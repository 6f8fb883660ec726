"""The latest changes of endpoints, for those who missed them."""

from collections import deque

import attrs

from lentilhaven.fleet.endpoint import Endpoint

#: Seconds for which a change is kept: several datagrams may be lost meanwhile.
KEPT = 2.0


@attrs.frozen
class EndpointChanges:
    """
    What changed between two revisions of the store.

    Attributes
    ----------
    since, until : int
        The revisions.
    changed : tuple of Endpoint
        New and changed endpoints.
    gone : tuple of str
        Ids of those that have vanished.
    """

    since: int
    until: int
    changed: tuple[Endpoint, ...] = ()
    gone: tuple[str, ...] = ()


@attrs.define
class EndpointHistory:
    """
    Changes of the last seconds.

    Attributes
    ----------
    steps : deque of (float, EndpointChanges)
        Each with the time at which it was learned, in seconds.

    Examples
    --------
    >>> history = EndpointHistory()
    >>> one = Endpoint("a", "s", "10.0.0.1:80", "z")
    >>> history.add(EndpointChanges(3, 5, (one,)), now=0.0)
    >>> history.add(EndpointChanges(5, 6, (), ("a",)), now=1.0)
    >>> history.latest(now=1.0)
    EndpointChanges(since=3, until=6, changed=(), gone=('a',))
    >>> history.latest(now=9.0)
    """

    steps: deque[tuple[float, EndpointChanges]] = attrs.field(factory=deque)

    def add(self, step: EndpointChanges, now: float) -> None:
        """Keep a step; one that does not follow the last makes these useless."""
        if self.steps and self.steps[-1][1].until != step.since:
            self.steps.clear()
        self.steps.append((now, step))

    def latest(self, now: float) -> EndpointChanges | None:
        """Return the changes of the last seconds as one step."""
        while self.steps and now - self.steps[0][0] > KEPT:
            self.steps.popleft()
        if not self.steps:
            return None
        state: dict[str, Endpoint | None] = {}
        for _, step in self.steps:
            state.update({it.id: it for it in step.changed})
            state.update(dict.fromkeys(step.gone))
        return EndpointChanges(
            self.steps[0][1].since,
            self.steps[-1][1].until,
            tuple(it for it in state.values() if it is not None),
            tuple(name for name, it in state.items() if it is None),
        )
