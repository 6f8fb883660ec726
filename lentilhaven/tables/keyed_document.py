"""Documents whose lists of named entries are maps, so that entries can be matched."""

from typing import Any

from lentilhaven.core.converter import to_document
from lentilhaven.tables.tables import Tables

#: Fields by which the entries of a list are told apart.
ENTRY_FIELDS = ("name", "id")

#: Key of the names of the routes in order of precedence.
ROUTE_ORDER = "route_order"


class Entries(dict):
    """Entries of a list by name."""


def key_tables(tables: Tables) -> dict[str, Any]:
    """
    Return the keyed document of some tables, without their version.

    Parameters
    ----------
    tables : Tables
        The tables.
    """
    document = to_document(tables)
    del document["version"]
    order = [route.name for route in tables.routes]
    return {**key_entries(document), ROUTE_ORDER: order}


def unkey_tables(keyed: dict[str, Any]) -> Any:
    """
    Return the document that a keyed document stands for.

    Parameters
    ----------
    keyed : dict
        As `key_tables` returns it.
    """
    document = {key: unkey(value) for key, value in keyed.items()}
    order = document.pop(ROUTE_ORDER)
    routes = document["routes"]
    document["routes"] = sorted(routes, key=lambda it: order.index(it["name"]))
    return document


def key_entries(value: Any) -> Any:
    """
    Turn each list of named entries into `Entries`, at every depth.

    Examples
    --------
    >>> key_entries([{"name": "a", "n": [1]}])
    {'a': {'name': 'a', 'n': [1]}}
    """
    if isinstance(value, dict):
        return {key: key_entries(inner) for key, inner in value.items()}
    if not isinstance(value, list) or not value:
        return value
    for field in ENTRY_FIELDS:
        if all(isinstance(entry, dict) and field in entry for entry in value):
            return Entries({entry[field]: key_entries(entry) for entry in value})
    return value


def unkey(value: Any) -> Any:
    """
    Turn `Entries` into lists again.

    Examples
    --------
    >>> unkey(key_entries([{"name": "a", "n": [1]}]))
    [{'name': 'a', 'n': [1]}]
    """
    if isinstance(value, Entries):
        return [unkey(entry) for entry in value.values()]
    if isinstance(value, dict):
        return {key: unkey(inner) for key, inner in value.items()}
    return value


def as_maps(*values: Any) -> list[Any]:
    """
    Return values with empty lists as `Entries` if any of them is `Entries`.

    Examples
    --------
    >>> as_maps([], Entries(a=1))
    [{}, {'a': 1}]
    """
    if not any(isinstance(value, Entries) for value in values):
        return list(values)
    return [Entries() if value == [] else value for value in values]


def inner_path(path: str, container: Any, key: str) -> str:
    """Return the path of a key of a keyed document."""
    return f"{path}[{key}]" if isinstance(container, Entries) else f"{path}.{key}"
