"""
Incremental updates of the agent's view for the router.

With thousands of endpoints and workspaces, a full view takes megabytes and
hundreds of milliseconds.  The feed stores the view that it sent last and sends
only what has changed since.  A router that holds any other view, for example
because it missed a response, gets a full view.
"""

from typing import Any

import attrs

from lentilhaven.control.view import EndpointView, View
from lentilhaven.control.view_update import TablesUpdate, ViewUpdate
from lentilhaven.core.converter import to_document
from lentilhaven.core.ids import EndpointId
from lentilhaven.distribution.table_holder import TableHolder

#: Maximum number of table versions whose part hashes are kept.
MAX_REMEMBERED_VERSIONS = 64


@attrs.define
class ViewFeed:
    """
    Computes view updates relative to the view sent last.

    Attributes
    ----------
    run : int
        Incarnation with which the agent started; it identifies the agent's run.
    sequence : int
        Sequence number of the view sent last; -1 for none.
    endpoints : dict
        `EndpointView` by endpoint, as sent last.
    parts : dict
        Content hashes of the parts that the tables of a recently sent version
        consist of, by version.
    """

    run: int
    sequence: int = -1
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    parts: dict[int, frozenset[str]] = attrs.field(factory=dict)

    def update(
        self, view: View, holder: TableHolder, run: int, after: int, version: int
    ) -> ViewUpdate:
        """
        Return the changes that a router lacks, and record them as sent.

        Parameters
        ----------
        view : View
            Current view.
        holder : TableHolder
            Current tables.
        run, after : int
            Agent's run and sequence number of the view that the router holds.
        version : int
            Version of the tables that the router holds; -1 for none.
        """
        full = run != self.run or after != self.sequence
        known = {} if full else self.endpoints
        changed = {
            name: endpoint
            for name, endpoint in view.endpoints.items()
            if not is_unchanged(known.get(name), endpoint)
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
        self, served_version: int, holder: TableHolder, version: int
    ) -> TablesUpdate | None:
        """
        Return the parts that a router lacks, and record the version as sent.

        Returns None if the router's tables are the newest or the agent is not ready.

        Parameters
        ----------
        served_version : int
            Version of the tables that the agent serves; 0 while it is not ready.
        holder : TableHolder
            Current tables.
        version : int
            Version of the tables that the router holds; -1 for none.
        """
        if served_version == 0 or version >= served_version:
            return None
        known_parts = self.parts.get(version, frozenset())
        part_hashes = frozenset(holder.head.parts)
        self.parts[served_version] = part_hashes
        while len(self.parts) > MAX_REMEMBERED_VERSIONS:
            del self.parts[min(self.parts)]
        documents: dict[str, Any] = {
            name: holder.documents[name] for name in part_hashes - known_parts
        }
        return TablesUpdate(to_document(holder.head), documents)


def is_unchanged(known: EndpointView | None, now: EndpointView) -> bool:
    """
    Return whether an endpoint's view has only aged since it was sent.

    A newer report with equal figures is sent again, since its age is lower.

    Examples
    --------
    >>> from lentilhaven.control.view import EndpointState
    >>> old = EndpointView(EndpointState.LIVE, None, 1.0)
    >>> is_unchanged(old, EndpointView(EndpointState.LIVE, None, 1.5))
    True
    >>> is_unchanged(old, EndpointView(EndpointState.SUSPECT, None, 1.5))
    False
    """
    if known is None or known.state is not now.state:
        return False
    return known.report == now.report and known.age <= now.age
