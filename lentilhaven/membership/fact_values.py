"""
Checks of the values of facts that other VMs publish.

A fact reaches all agents, and each of them passes it on.  One that an agent can't use,
as of a later release, must be ignored where it arrives: later on it would end a task of
each agent.
"""

import math
from typing import Any

from lentilhaven.membership.fact import Fact
from lentilhaven.membership.fact_table import Topic

#: Lengths of an encoded load: without a report, with one, and with layers too.
LOAD_LENGTHS = (3, 10, 12)

#: Number of totals of a pool in a summary.
TOTALS = 6


def is_usable(fact: Fact) -> bool:
    """
    Return whether a fact has a known topic, and a value that its readers understand.

    Examples
    --------
    >>> is_usable(Fact("suspects", "vm-1", 1, 1, 0.0, {"vm-2": 7}))
    True
    >>> is_usable(Fact("suspects", "vm-1", 1, 1, 0.0, ["vm-2"]))
    False
    >>> is_usable(Fact("weather", "vm-1", 1, 1, 0.0, None))
    False
    """
    try:
        topic = Topic(fact.topic)
    except ValueError:
        return False
    return fact.value is None or CHECKS[topic](fact.value)


def is_number(value: Any) -> bool:
    """Return whether a value is a finite number."""
    is_numeric = isinstance(value, int | float) and not isinstance(value, bool)
    return is_numeric and math.isfinite(value)


def is_votes(value: Any) -> bool:
    """Return whether a value has an incarnation for each suspected VM."""
    return isinstance(value, dict) and all(is_number(it) for it in value.values())


def is_leaving(value: Any) -> bool:
    """Return whether a value says if a VM, and which endpoints, are leaving."""
    if not isinstance(value, dict) or "vm" not in value:
        return False
    endpoints = value.get("endpoints")
    return isinstance(endpoints, list) and all(isinstance(it, str) for it in endpoints)


def is_loads(value: Any) -> bool:
    """Return whether a value is a list of encoded loads."""
    return isinstance(value, list) and all(is_load(wire) for wire in value)


def is_load(wire: Any) -> bool:
    """
    Return whether a value is an encoded load (see `load.endpoint_load.encode_load`).

    Examples
    --------
    >>> is_load(["e", 3, 0.5]), is_load(["e"]), is_load(["e", 3, "soon"])
    (True, False, False)
    """
    if not isinstance(wire, list) or len(wire) not in LOAD_LENGTHS:
        return False
    texts, numbers = [wire[0], *wire[9:10]], [*wire[1:9], *wire[10:]]
    start, stop = wire[10:] or (0, 1)
    return (
        all(isinstance(it, str) for it in texts)
        and all(is_number(it) for it in numbers)
        and 0 <= start < stop
    )


def is_summary(value: Any) -> bool:
    """Return whether a value has a data centre and the totals of its pools."""
    if not isinstance(value, dict) or not isinstance(value.get("data_centre"), str):
        return False
    pools = value.get("pools")
    return isinstance(pools, dict) and all(is_totals(it) for it in pools.values())


def is_totals(value: Any) -> bool:
    """Return whether a value is the list of totals of a pool."""
    is_whole = isinstance(value, list) and len(value) == TOTALS
    return is_whole and all(is_number(it) for it in value)


#: Check of the values of each topic.
CHECKS = {
    Topic.SUSPECTS: is_votes,
    Topic.LEAVING: is_leaving,
    Topic.LOAD: is_loads,
    Topic.SUMMARY: is_summary,
}
