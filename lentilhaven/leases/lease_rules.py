"""The rules of a lease, as pure functions on what the store shows."""

import attrs

from lentilhaven.core.ids import VmId
from lentilhaven.leases.lease_record import LeaseRecord
from lentilhaven.leases.lease_settings import LeaseSettings


@attrs.frozen
class Sighting:
    """
    What an observer last read.

    Attributes
    ----------
    version : int
        Version of the object; 0 if it does not exist.
    record : LeaseRecord or None
        Its content.
    since : float
        Monotonic time at which this version was first seen, in seconds.
    """

    version: int
    record: LeaseRecord | None
    since: float


def note_sighting(
    before: Sighting | None, version: int, record: LeaseRecord | None, now: float
) -> Sighting:
    """
    Return what is known after a read.

    Parameters
    ----------
    before : Sighting or None
        What was known before.
    version : int
        Version read.
    record : LeaseRecord or None
        Content read.
    now : float
        Monotonic time after the read, in seconds.
    """
    if before is not None and before.version == version:
        return before
    return Sighting(version, record, now)


def may_take_over(sighting: Sighting, settings: LeaseSettings, now: float) -> bool:
    """
    Return whether the holder's validity is certainly over.

    Parameters
    ----------
    sighting : Sighting
        What was read.
    settings : LeaseSettings
        Times of the lease.
    now : float
        Monotonic time, in seconds.

    Examples
    --------
    >>> held = Sighting(3, LeaseRecord("a", "r", 1), since=10.0)
    >>> may_take_over(held, LeaseSettings(duration=2.0, margin=0.2), 12.1)
    False
    >>> may_take_over(held, LeaseSettings(duration=2.0, margin=0.2), 12.3)
    True
    """
    if sighting.record is None or not sighting.record.run:
        return True
    return now - sighting.since > settings.duration + settings.margin


def next_record(before: LeaseRecord | None, vm: VmId, run: str) -> LeaseRecord:
    """
    Return the record that takes a lease over.

    Parameters
    ----------
    before : LeaseRecord or None
        The record before.
    vm, run : str
        The new holder.
    """
    return LeaseRecord(vm, run, before.fence + 1 if before else 1)
