"""
The tables that operators edit.

A *route* says which pool answers which kind of request and under which rules.
A *pool* says which endpoints serve one model or service, and which layers of
the model each endpoint holds.  A *workspace* is a customer with tokens, a
weight and limits.  Routes and pools are joined by the pool's name.

All three form one versioned configuration, `Tables`.  Two operators who edit
different tables at once could each be valid alone and wrong together, for
instance a new route to a pool that the other has just removed; one version
number over everything makes that impossible.

The subject is pure: it parses, validates and compares, and does no I/O.
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
