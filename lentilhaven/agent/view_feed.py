"""
Tells the router what has changed in the agent's view.

At thousands of endpoints and workspaces a whole view takes megabytes and
hundreds of milliseconds.  The feed remembers the view that the router read
last and sends the difference; a router that has read another one, or missed an
answer, gets a whole view.
"""

from typing import Any

import attrs

from lentilhaven.control.view import EndpointView, View
from lentilhaven.control.view_update import TablesUpdate, ViewUpdate
from lentilhaven.core.converter import to_document
from lentilhaven.core.ids import EndpointId
from lentilhaven.distribution.table_holder import TableHolder

#: Versions of the tables whose parts are remembered.
REMEMBERED_VERSIONS = 64


@attrs.define
class ViewFeed:
    """
    What the router has been told.

    Attributes
    ----------
    run : int
        The agent's incarnation.
    sequence : int
        Sequence of the view sent last; -1 for none.
    endpoints : dict
        `EndpointView` by endpoint, as sent.
    parts : dict
        Content hashes of the parts by version of the tables.
    """

    run: int
    sequence: int = -1
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    parts: dict[int, frozenset[str]] = attrs.field(factory=dict)

    def update(
        self, view: View, holder: TableHolder, run: int, after: int, version: int
    ) -> ViewUpdate:
        """
        Return what a router must be told, and remember it as told.

        Parameters
        ----------
        view : View
            The view now.
        holder : TableHolder
            The tables now.
        run, after : int
            Run and sequence of the view that the router holds.
        version : int
            Version of the tables that the router holds; -1 for none.
        """
        full = run != self.run or after != self.sequence
        known = {} if full else self.endpoints
        changed = {
            name: endpoint
            for name, endpoint in view.endpoints.items()
            if not says_same(known.get(name), endpoint)
        }
        gone = [name for name in known if name not in view.endpoints]
        self.endpoints = view.endpoints
        self.sequence = view.sequence
        return ViewUpdate(
            run=self.run,
            sequence=view.sequence,
            full=full,
            endpoints=changed,
            gone=gone,
            tables=self.tables_update(view.tables.version, holder, version),
            live_vms=view.live_vms,
            leaving=view.leaving,
        )

    def tables_update(
        self, served: int, holder: TableHolder, version: int
    ) -> TablesUpdate | None:
        """
        Return the parts that a router lacks; None if its tables are the newest.

        Parameters
        ----------
        served : int
            Version of the tables that the agent serves; 0 while it is not ready.
        holder : TableHolder
            The tables now.
        version : int
            Version of the tables that the router holds.
        """
        if served == 0 or version >= served:
            return None
        held = self.parts.get(version, frozenset())
        names = frozenset(holder.head.parts)
        self.parts[served] = names
        while len(self.parts) > REMEMBERED_VERSIONS:
            del self.parts[min(self.parts)]
        documents: dict[str, Any] = {
            name: holder.documents[name] for name in names - held
        }
        return TablesUpdate(to_document(holder.head), documents)


def says_same(known: EndpointView | None, now: EndpointView) -> bool:
    """
    Return whether a view adds nothing but age to one already sent.

    A report that has been made again is sent even if its figures are equal,
    since it is younger.

    Examples
    --------
    >>> from lentilhaven.control.view import EndpointState
    >>> old = EndpointView(EndpointState.LIVE, None, 1.0)
    >>> says_same(old, EndpointView(EndpointState.LIVE, None, 1.5))
    True
    >>> says_same(old, EndpointView(EndpointState.SUSPECT, None, 1.5))
    False
    """
    if known is None or known.state is not now.state:
        return False
    return known.report == now.report and known.age <= now.age
