"""The stored form of a lease."""

from typing import Any

import attrs

from lentilhaven.core.converter import CONVERTER
from lentilhaven.core.ids import VmId
from lentilhaven.core.json_numbers import is_count

#: Process that holds a lease whose record can't be read.
UNKNOWN_RUN = "unknown"


@attrs.frozen
class LeaseRecord:
    """
    The content of a lease object.

    Attributes
    ----------
    vm : str
        The VM that holds the lease; empty after a release.
    run : str
        Unique id of the process that holds the lease; a process that restarts
        at the same address is another holder.  Empty after a release.
    fence : int
        Fencing number; every takeover increments it.
    renewal : int
        Number of renewals since the takeover.
    """

    vm: VmId
    run: str
    fence: int
    renewal: int = 0


def decode_record(value: Any) -> LeaseRecord:
    """
    Decode a record.

    A record that can't be read may be that of a holder, so that it names `UNKNOWN_RUN`:
    the lease is taken over once the record has not changed for a term.

    Parameters
    ----------
    value : Any
        Content of the lease object; not validated, since any process may write it.

    Examples
    --------
    >>> decode_record({"vm": "vm-1", "run": "r", "fence": 3, "renewal": 0}).run
    'r'
    >>> decode_record({"vm": 7, "fence": 3})
    LeaseRecord(vm='', run='unknown', fence=3, renewal=0)
    """
    try:
        record = CONVERTER.structure(value, LeaseRecord)
    except Exception:  # cattrs raises groups of errors
        record = None
    if record is not None and is_count(record.fence) and is_count(record.renewal):
        return record
    fence = value.get("fence") if isinstance(value, dict) else None
    return LeaseRecord(VmId(""), UNKNOWN_RUN, int(fence or 0) if is_count(fence) else 0)
