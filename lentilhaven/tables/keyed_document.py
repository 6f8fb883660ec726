"""
Keyed documents, in which each list of named entries is a map by name.

The entries of two versions of the tables can thus be matched by name.
"""

from typing import Any

from lentilhaven.core.converter import to_document
from lentilhaven.tables.tables import Tables

#: Fields that identify an entry of a list, in order of preference.
KEY_FIELDS = ("name", "id")

#: Key under which a keyed document keeps the names of all routes in order of
#: precedence, since maps by name are compared without regard to order.
ROUTE_ORDER = "route_order"


class EntryMap(dict):
    """Map by name that replaces a list of named entries in a keyed document."""


def key_tables(tables: Tables) -> dict[str, Any]:
    """
    Convert tables to a keyed document, leaving out the version.

    Parameters
    ----------
    tables : Tables
        Tables to convert.
    """
    document = to_document(tables)
    del document["version"]
    order = [route.name for route in tables.routes]
    return {**key_entries(document), ROUTE_ORDER: order}


def unkey_tables(keyed: dict[str, Any]) -> Any:
    """
    Convert a keyed document back to the document of the tables, without a version.

    Parameters
    ----------
    keyed : dict
        Keyed document, as returned by `key_tables`.
    """
    document = {key: unkey_entries(value) for key, value in keyed.items()}
    order = document.pop(ROUTE_ORDER)
    routes = document["routes"]
    document["routes"] = sorted(routes, key=lambda route: order.index(route["name"]))
    return document


def key_entries(value: Any) -> Any:
    """
    Convert each list of named entries to an `EntryMap`, at every depth.

    Examples
    --------
    >>> key_entries([{"name": "a", "n": [1]}])
    {'a': {'name': 'a', 'n': [1]}}
    """
    if isinstance(value, dict):
        return {key: key_entries(inner) for key, inner in value.items()}
    if not isinstance(value, list) or not value:
        return value
    for field in KEY_FIELDS:
        if all(isinstance(entry, dict) and field in entry for entry in value):
            return EntryMap({entry[field]: key_entries(entry) for entry in value})
    return value


def unkey_entries(value: Any) -> Any:
    """
    Convert each `EntryMap` back to a list, at every depth.

    Examples
    --------
    >>> unkey_entries(key_entries([{"name": "a", "n": [1]}]))
    [{'name': 'a', 'n': [1]}]
    """
    if isinstance(value, EntryMap):
        return [unkey_entries(entry) for entry in value.values()]
    if isinstance(value, dict):
        return {key: unkey_entries(inner) for key, inner in value.items()}
    return value


def convert_empty_lists(*values: Any) -> list[Any]:
    """
    Convert empty lists to `EntryMap` if any of the values is an `EntryMap`.

    `key_entries` cannot tell whether an empty list is a list of named entries.

    Examples
    --------
    >>> convert_empty_lists([], EntryMap(a=1))
    [{}, {'a': 1}]
    """
    if not any(isinstance(value, EntryMap) for value in values):
        return list(values)
    return [EntryMap() if value == [] else value for value in values]


def child_path(path: str, container: Any, key: str) -> str:
    """Return the path of the value at `key` in a keyed document."""
    return f"{path}[{key}]" if isinstance(container, EntryMap) else f"{path}.{key}"
