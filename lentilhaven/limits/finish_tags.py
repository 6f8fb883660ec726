"""Virtual times up to which workspaces have been served."""

import attrs

#: Maximum number of finish tags.  Above it, those without effect are dropped, and then
#: those of the workspaces that are the least ahead.
MAX_TAGS = 2048


@attrs.define(eq=False)
class FinishTags:
    """
    The finish tag of each workspace of one priority, bounded in number.

    Attributes
    ----------
    max_tags : int
        Maximum number of tags.
    tags : dict
        Virtual time up to which a workspace has been served, by its name.

    Examples
    --------
    >>> finish_tags = FinishTags(max_tags=2)
    >>> for name, tag in (("depot", 5.0), ("harbour", 9.0), ("mill", 7.0)):
    ...     finish_tags.record(name, tag, virtual_time=6.0)
    >>> finish_tags.tags
    {'harbour': 9.0}
    """

    max_tags: int = MAX_TAGS
    tags: dict[str, float] = attrs.field(factory=dict)

    def get(self, workspace: str) -> float:
        """Return the finish tag of a workspace; 0 if it is not known."""
        return self.tags.get(workspace, 0.0)

    def record(self, workspace: str, tag: float, virtual_time: float) -> None:
        """Set the finish tag of a workspace, and drop others if there are too many."""
        self.tags[workspace] = tag
        if len(self.tags) <= self.max_tags:
            return
        # Half of the tags are dropped at once, so that the mean cost of a call remains
        # logarithmic in their number.
        kept = [it for it in self.tags.items() if it[1] > virtual_time]
        kept.sort(key=lambda it: it[1])
        self.tags = dict(kept[-(self.max_tags // 2) :])
