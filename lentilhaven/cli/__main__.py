"""The program ``lentilhaven``."""

import asyncio
import json
import sys
import uuid
from pathlib import Path

import cyclopts

from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import to_document
from lentilhaven.distribution.commit import Committed, commit_tables
from lentilhaven.distribution.table_reader import read_head, read_tables
from lentilhaven.platform.object_client import open_object_client
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.validation import parse_tables

#: Exit codes.
OK, FAILED, INVALID, CONFLICT = 0, 1, 2, 3

app = cyclopts.App(name="lentilhaven", help="The operators' client.")


@app.command
def check(tables: Path) -> int:
    """
    Check a file of tables.

    Parameters
    ----------
    tables
        JSON with comments.
    """
    parsed = parse_tables(tables.read_text(encoding="utf-8"))
    if parsed.is_error():
        return report(parsed.error, INVALID)
    print("valid")
    return OK


@app.command
def get(*, store: str) -> int:
    """
    Print the tables in force.

    Parameters
    ----------
    store
        Base URL of the platform's object API.
    """
    return asyncio.run(print_tables(store))


@app.command
def apply(tables: Path, *, store: str, author: str = "operator") -> int:
    """
    Put a file of tables in force.

    Parameters
    ----------
    tables
        JSON with comments.
    store
        Base URL of the platform's object API.
    author
        Who makes the edit.
    """
    parsed = parse_tables(tables.read_text(encoding="utf-8"))
    if parsed.is_error():
        return report(parsed.error, INVALID)
    return asyncio.run(apply_tables(store, parsed.ok, author))


async def print_tables(store: str) -> int:
    """Print the tables that the store's head names."""
    async with open_object_client(store) as client:
        head = await read_head(client)
        if head.is_error():
            return report(head.error, FAILED)
        tables = await read_tables(client, head.ok)
        if tables.is_error():
            return report(tables.error, FAILED)
        print(json.dumps(to_document(tables.ok), indent=2))
        return OK


async def apply_tables(store: str, tables: Tables, author: str) -> int:
    """Commit tables on top of the head in force."""
    async with open_object_client(store) as client:
        head = await read_head(client)
        if head.is_error():
            return report(head.error, FAILED)
        edit = uuid.uuid4().hex
        outcome = await commit_tables(client, head.ok, tables, edit, author)
    if outcome.is_error():
        return report(outcome.error, FAILED)
    if isinstance(outcome.ok, Committed):
        print(f"version {outcome.ok.head.version} is accepted")
        return OK
    newer = outcome.ok.head
    print(
        f"conflict: {newer.author} has put version {newer.version} in force",
        file=sys.stderr,
    )
    return CONFLICT


def report(failure: Failure, code: int) -> int:
    """Print a failure and return the exit code."""
    print(failure, file=sys.stderr)
    return code


def main() -> None:
    """Run the program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
