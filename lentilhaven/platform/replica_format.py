"""Decoding of replica entries in the platform's store."""

from typing import Any

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan

#: Valid states of a replica's entry.
READY, DRAINING = "ready", "draining"

#: Largest port, and largest number in an IP address.
MAX_PORT, MAX_OCTET = 65_535, 255


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
    if not isinstance(value, dict):
        return None
    fields: dict[str, Any] = value
    texts = [fields.get(field) for field in ("service", "address", "zone", "state")]
    if not all(isinstance(text, str) and text for text in texts):
        return None
    service, address, data_centre, state = map(str, texts)
    slots = fields.get("slots")
    if state not in (READY, DRAINING) or not is_non_negative_int(slots):
        return None
    if not is_address(address):
        return None
    model, layers = decode_layers(value)
    born, sequence = value.get("born", 0), value.get("sequence", 0)
    return Endpoint(
        id=name,
        service=service,
        address=address,
        data_centre=data_centre,
        slots=int(slots or 0),
        draining=state == DRAINING,
        born=born if is_non_negative_int(born) else 0,
        card=value["kind"] if isinstance(value.get("kind"), str) else "",
        layers=layers,
        model=model,
        sequence=sequence if is_non_negative_int(sequence) else 0,
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
    model = first.get("name", "") if isinstance(first, dict) else ""
    span = value.get("layers")
    if not isinstance(span, dict) and isinstance(first, dict):
        span = first.get("layers")
    if isinstance(span, list) and span:
        span = span[0]
    if not isinstance(span, dict):
        return str(model), None
    start, end = span.get("from"), span.get("target")
    if not is_non_negative_int(start) or not is_non_negative_int(end):
        return str(model), None
    held = LayerSpan(int(start or 0), int(end or 0))
    return str(model), held if len(held) else None


def is_non_negative_int(value: Any) -> bool:
    """Return whether a value is a non-negative integer."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def is_address(text: str) -> bool:
    """
    Return whether a text has the form ``IP:PORT``, and can be connected to.

    Examples
    --------
    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1"), is_address("x:y")
    (True, False, False)
    >>> is_address("10.0.0.1:99999"), is_address("10.0.0.300:80")
    (False, False)
    """
    host, _, port = text.rpartition(":")
    numbers = host.split(".")
    return len(numbers) == 4 and all(
        is_number_up_to(number, limit)
        for number, limit in [(port, MAX_PORT), *((it, MAX_OCTET) for it in numbers)]
    )


def is_number_up_to(text: str, limit: int) -> bool:
    """Return whether a text is a decimal number of at most a limit."""
    return text.isascii() and text.isdigit() and len(text) < 6 and int(text) <= limit
