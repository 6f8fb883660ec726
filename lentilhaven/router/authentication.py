"""Authentication of callers by bearer token."""

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.hashing import token_hash
from lentilhaven.core.step import Step
from lentilhaven.tables.table_index import TableIndex, index_tables
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.workspace import Workspace


@attrs.define
class WorkspaceIndex:
    """
    Workspaces by token hash, indexed once per version of the tables.

    A lookup takes a few microseconds, whether there are ten workspaces or 20,000.
    The time may leak information about how the SHA-256 of the presented token
    compares with the hashes in the tables.  An attacker can't use this information:
    a token can neither be chosen to have a given hash nor be derived from its hash.

    Attributes
    ----------
    table_index : TableIndex
        Index of the current tables.
    """

    table_index: TableIndex = attrs.field(factory=lambda: index_tables(Tables()))

    def authenticate(self, tables: Tables, header: str) -> Result[Workspace, Failure]:
        """
        Return the workspace that the token of a request belongs to.

        Parameters
        ----------
        tables : Tables
            Current tables.
        header : str
            Value of the ``Authorization`` header.

        Returns
        -------
        Result
            The workspace; a failure if the header holds no known bearer token.
        """
        self.refresh(tables)
        scheme, _, token = header.partition(" ")
        if scheme.lower() != "bearer" or not token.strip():
            return Error(unauthenticated("a bearer token is required"))
        workspace = self.table_index.find_workspace(token_hash(token.strip()))
        if workspace is None:
            return Error(unauthenticated("the token is not known"))
        return Ok(workspace)

    def refresh(self, tables: Tables) -> None:
        """Rebuild the index if the version of the tables has changed."""
        current = self.table_index.tables
        if tables is current or 0 < tables.version == current.version:
            return
        self.table_index = index_tables(tables)


def unauthenticated(detail: str) -> Failure:
    """Return the failure of a request without a valid token."""
    return Failure(Step.AUTHENTICATE, "", "unauthenticated", detail)
