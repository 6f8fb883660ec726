"""The router's copy of its agent's view, updated incrementally."""

import attrs
from expression import Error, Ok, Result

from lentilhaven.control.view import EndpointView, View
from lentilhaven.control.view_update import TablesUpdate, ViewUpdate
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.invariants import ensure
from lentilhaven.core.settings import structure_document
from lentilhaven.core.step import Step
from lentilhaven.distribution.table_head import TableHead
from lentilhaven.distribution.table_holder import TableHolder


@attrs.define
class ViewHolder:
    """
    Current view, built from the agent's updates.

    Attributes
    ----------
    run : int
        Run (incarnation) of the agent that sent the last update; -1 requests a full
        view.
    sequence : int
        Sequence number of the last update within that run; -1 requests a full view.
    endpoints : dict
        `EndpointView` by endpoint; its `age` is the age of the report at receipt.
    received_at : dict
        Monotonic time of receipt of each endpoint's view, in seconds.
    tables : TableHolder
        Current tables; their version never decreases.
    """

    run: int = -1
    sequence: int = -1
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    received_at: dict[EndpointId, float] = attrs.field(factory=dict)
    tables: TableHolder = attrs.field(factory=TableHolder)

    def adopt(self, update: ViewUpdate, now: float) -> Result[View, Failure]:
        """
        Apply an update and return the resulting view.

        Parameters
        ----------
        update : ViewUpdate
            Update from this VM's agent.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        Result
            The view; a failure if the tables of the update can't be used.  The
            next poll then requests a full view.
        """
        if update.tables is not None:
            adopted = self.adopt_tables(update.tables)
            if adopted.is_error():
                self.invalidate()
                return Error(adopted.error)
        # Decisions in progress still read the dictionary of the previous view, so the
        # update is applied to a copy.
        self.endpoints = {} if update.full else dict(self.endpoints)
        for name, view in update.endpoints.items():
            self.endpoints[name] = view
            self.received_at[name] = now
        for name in update.gone:
            self.endpoints.pop(name, None)
        self.run, self.sequence = update.run, update.sequence
        return Ok(
            View(
                update.sequence,
                self.tables.tables,
                self.endpoints,
                update.live_vms,
                update.leaving,
            )
        )

    def adopt_tables(self, update: TablesUpdate) -> Result[bool, Failure]:
        """
        Adopt the tables if they are newer; a restarted agent may send older ones.

        Returns
        -------
        Result
            Whether the tables were newer, or a failure if they can't be used.
        """
        parsed = structure_document(update.head, TableHead)
        if parsed.is_error():
            return Error(parsed.error)
        head = parsed.ok
        documents = self.tables.documents | update.parts
        missing = [part for part in head.parts if part not in documents]
        if missing:
            detail = f"{len(missing)} parts of version {head.version} are missing"
            return Error(Failure(Step.SPREAD, "agent", "missing-part", detail))
        previous_version = self.tables.head.version
        outcome = self.tables.adopt(head, documents, checked=True)
        ensure(
            self.tables.head.version >= previous_version,
            "version-rises",
            previous_version,
        )
        return outcome

    def invalidate(self) -> None:
        """Make the next poll request a full view."""
        self.run, self.sequence = -1, -1

    def report_age(self, endpoint: EndpointId, now: float) -> float:
        """
        Return the age of an endpoint's load report at the time `now`, in seconds.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        now : float
            Monotonic time, in seconds.

        Raises
        ------
        KeyError
            If the view does not contain the endpoint.
        """
        return self.endpoints[endpoint].age + now - self.received_at[endpoint]
