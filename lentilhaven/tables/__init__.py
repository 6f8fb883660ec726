"""
Tables of routes, pools and workspaces, which operators edit.

A *route* assigns requests to a pool and sets the rules for them.  A *pool* lists
the endpoints that serve one model or service, and the layers of the model that
each endpoint holds.  A *workspace* is a customer with bearer tokens, a weight
and limits.  Routes refer to pools by name.

All three form one versioned configuration, `Tables`.  Concurrent edits of
different tables may each be valid but invalid together, for instance a new
route to a pool that another operator has just removed.  A single version number
for all tables prevents this.

This subpackage parses, validates and compares tables, and does no I/O.
"""

from lentilhaven.tables.change import Change
from lentilhaven.tables.diff import diff_tables
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.layer_range import LayerRange
from lentilhaven.tables.merge import rebase_tables
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.route import Route
from lentilhaven.tables.table_index import TableIndex, index_tables
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.validation import parse_tables, validate_tables
from lentilhaven.tables.workspace import Workspace

__all__ = [
    "Change",
    "EndpointSpec",
    "LayerRange",
    "Pool",
    "Route",
    "TableIndex",
    "Tables",
    "Workspace",
    "diff_tables",
    "index_tables",
    "parse_tables",
    "rebase_tables",
    "validate_tables",
]
