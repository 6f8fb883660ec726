"""
Distribution of the routing tables from the platform's store to the agents.

A *head* object lists the parts of the current tables.  Parts are immutable and
named by the hash of their content, so it is harmless to write a part early or
twice, or to write one that is never used.  One conditional update of the head
commits a whole edit.  Versions are monotonic: no process adopts a head with a
lower version than its own.
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
