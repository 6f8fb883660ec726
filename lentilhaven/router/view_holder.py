"""The router's copy of its agent's view, kept up to date by differences."""

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
    The view in force.

    Attributes
    ----------
    run : int
        Incarnation of the agent that sent it; -1 before the first.
    sequence : int
        Its sequence in that run; -1 before the first.
    endpoints : dict
        `EndpointView` by endpoint, with ages as of their receipt.
    received : dict
        Monotonic time of receipt of each endpoint's view, in seconds.
    tables : TableHolder
        The tables in force; their version only rises.
    """

    run: int = -1
    sequence: int = -1
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    received: dict[EndpointId, float] = attrs.field(factory=dict)
    tables: TableHolder = attrs.field(factory=TableHolder)

    def adopt(self, update: ViewUpdate, now: float) -> Result[View, Failure]:
        """
        Apply an update and return the view that it makes.

        Parameters
        ----------
        update : ViewUpdate
            From this VM's agent.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        Result
            The view; or a failure, after which a whole view must be read.
        """
        if update.tables is not None:
            adopted = self.adopt_tables(update.tables)
            if adopted.is_error():
                self.forget()
                return Error(adopted.error)
        # A copy leaves the views that decisions in progress hold as they were.
        self.endpoints = {} if update.full else dict(self.endpoints)
        for name, view in update.endpoints.items():
            self.endpoints[name] = view
            self.received[name] = now
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
        """Put newer tables in force; an agent that restarted may send older ones."""
        parsed = structure_document(update.head, TableHead)
        if parsed.is_error():
            return Error(parsed.error)
        head = parsed.ok
        documents = self.tables.documents | update.parts
        missing = [part for part in head.parts if part not in documents]
        if missing:
            detail = f"{len(missing)} parts of version {head.version} are missing"
            return Error(Failure(Step.SPREAD, "agent", "missing-part", detail))
        before = self.tables.head.version
        outcome = self.tables.adopt(head, documents, checked=True)
        ensure(self.tables.head.version >= before, "version-rises", before)
        return outcome

    def forget(self) -> None:
        """Make the next read ask for a whole view."""
        self.run, self.sequence = -1, -1

    def age(self, endpoint: EndpointId, now: float) -> float:
        """
        Return the age of an endpoint's report, in seconds.

        Parameters
        ----------
        endpoint : str
            The endpoint.
        now : float
            Monotonic time, in seconds.

        Raises
        ------
        KeyError
            If nothing is known of the endpoint.
        """
        return self.endpoints[endpoint].age + now - self.received[endpoint]
