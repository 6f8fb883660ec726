"""Decoding of replica entries in the platform's store."""

from typing import Any

from lentilhaven.core.ip_address import is_address
from lentilhaven.core.json_numbers import is_count
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan

#: Valid states of a replica's entry.
READY, DRAINING = "ready", "draining"

#: Fields of an entry that hold a name.
NAMES = ("service", "zone")

#: Largest number of characters of a name.
MAX_NAME_LENGTH = 256

#: Largest number of a layer.
MAX_LAYER = 100_000


def decode_replica(name: str, value: Any) -> Endpoint | None:
    """
    Decode the entry of a replica.

    Parameters
    ----------
    name : str
        Name of the object, which is the replica's id.
    value : Any
        Content of the object; not validated, since any process may write it.

    Returns
    -------
    Endpoint or None
        None if the entry does not describe a replica.

    Examples
    --------
    >>> entry = {"service": "s", "address": "10.0.0.1:80", "zone": "z",
    ...          "state": "ready", "slots": 6}
    >>> decode_replica("i-1", entry).slots
    6
    >>> decode_replica("i-1", {"service": "s"})
    """
    if find_fault(name, value):
        return None
    model, layers = decode_layers(value)
    card = value.get("kind")
    return Endpoint(
        id=name,
        service=value["service"],
        address=value["address"],
        data_centre=value["zone"],
        slots=value["slots"],
        draining=value["state"] == DRAINING,
        born=read_count(value, "born"),
        card=card if is_name(card) else "",
        layers=layers,
        model=model,
        sequence=read_count(value, "sequence"),
    )


def find_fault(name: str, value: Any) -> str:
    """
    Return why an entry does not describe a replica, or an empty text if it does.

    Examples
    --------
    >>> find_fault("i-1", {"service": "s", "zone": "z", "address": "10.0.0.1:99999"})
    'address'
    """
    if not isinstance(value, dict):
        return "no object"
    if not is_name(name):
        return "name"
    for field in NAMES:
        if not is_name(value.get(field)):
            return field
    address, state = value.get("address"), value.get("state")
    if not isinstance(address, str) or not is_address(address):
        return "address"
    if not isinstance(state, str) or state not in (READY, DRAINING):
        return "state"
    return "" if is_count(value.get("slots")) else "slots"


def read_count(value: dict[str, Any], field: str) -> int:
    """Return a field that holds a count; 0 if it holds none."""
    number = value.get(field)
    return number if isinstance(number, int) and is_count(number) else 0


def is_name(value: Any) -> bool:
    r"""
    Return whether a value is a text that can be logged, and sent in a header.

    Examples
    --------
    >>> is_name("i-1"), is_name("i\r\n"), is_name(""), is_name("i" * 1000)
    (True, False, False, False)
    """
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_LENGTH
        and value.isprintable()
    )


def decode_layers(value: dict[str, Any]) -> tuple[str, LayerSpan | None]:
    """
    Return the model name and the layers in an entry or a status report.

    The layers are a field of the value or of its first model, and either one range
    or a list whose first range is used.  The name is empty and the layers are None
    if they are missing or invalid.
    """
    models = value.get("models")
    first = models[0] if isinstance(models, list) and models else {}
    name = first.get("name") if isinstance(first, dict) else None
    model = name if isinstance(name, str) and is_name(name) else ""
    span = value.get("layers")
    if not isinstance(span, dict) and isinstance(first, dict):
        span = first.get("layers")
    if isinstance(span, list) and span:
        span = span[0]
    if not isinstance(span, dict):
        return model, None
    start, end = span.get("from"), span.get("target")
    if not is_count(start, MAX_LAYER) or not is_count(end, MAX_LAYER):
        return model, None
    held = LayerSpan(int(start or 0), int(end or 0))
    return model, held if len(held) else None
