"""
Spreading of tables between the platform's store and the agents.

A *head* object names the parts of the tables in force.  Parts are immutable and
named by the hash of their content, so that they may be written early, twice or
never used.  One conditional update of the head commits a whole edit.  Versions
only rise: no process adopts a head with a lower version than its own.
"""

from lentilhaven.distribution.commit import CommitConflict, Committed, commit_tables
from lentilhaven.distribution.editing import edit_tables, rebase_edit, roll_back
from lentilhaven.distribution.table_head import HEAD_NAME, TableHead
from lentilhaven.distribution.table_reader import read_head, read_history, read_tables

__all__ = [
    "HEAD_NAME",
    "CommitConflict",
    "Committed",
    "TableHead",
    "commit_tables",
    "edit_tables",
    "read_head",
    "read_history",
    "read_tables",
    "rebase_edit",
    "roll_back",
]
