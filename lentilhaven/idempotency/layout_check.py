"""
Checks that all VMs map keys to objects in the same way.

Two VMs with different layouts would look for a key in different objects and could
both grant it.  The layout is therefore written to the store once, and an agent
that finds a different layout there grants no claims.
"""

from lentilhaven.core.converter import to_document
from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.idempotency.journal_layout import JournalLayout
from lentilhaven.idempotency.segment_store import SegmentStore

#: Name of the object that holds the layout.
LAYOUT_NAME = "journal/layout"


async def check_layout(store: SegmentStore, layout: JournalLayout) -> Failure | None:
    """
    Return why claims cannot be committed, or None if the layouts are equal.

    If the store contains no layout yet, this agent's layout is written to it.

    Parameters
    ----------
    store : SegmentStore
        The platform's store.
    layout : JournalLayout
        This agent's layout.
    """
    wanted = to_document(layout)
    found = await store.read(LAYOUT_NAME)
    if found.is_ok() and found.ok is None:
        # The next read shows whether this or another write took effect, so the
        # outcome of this one is ignored.
        await store.write(LAYOUT_NAME, wanted, 0)
        found = await store.read(LAYOUT_NAME)
    if found.is_error():
        return found.error
    if found.ok is None:
        detail = "the journal's layout could not be written"
        return Failure(Step.CLAIM, "object-api", "store-unavailable", detail)
    if found.ok.value != wanted:
        detail = f"this agent has {wanted}, the store {found.ok.value}"
        return Failure(Step.CLAIM, "", "layout-differs", detail, retry_after=60.0)
    return None
