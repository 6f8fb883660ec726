"""Rules for taking a lease over, as pure functions of what was read."""

import attrs

from lentilhaven.core.ids import VmId
from lentilhaven.leases.lease_record import LeaseRecord
from lentilhaven.leases.lease_settings import LeaseSettings


@attrs.frozen
class Observation:
    """
    What an observer has read of a lease object.

    Attributes
    ----------
    version : int
        Version of the object; 0 if it does not exist.
    record : LeaseRecord or None
        Content of the object; None if it does not exist.
    since : float
        Monotonic time at which this version was first read, in seconds.
    """

    version: int
    record: LeaseRecord | None
    since: float


def update_observation(
    previous: Observation | None, version: int, record: LeaseRecord | None, now: float
) -> Observation:
    """
    Return the observation after a read.

    An unchanged version keeps the time at which it was first read.

    Parameters
    ----------
    previous : Observation or None
        The observation before the read.
    version : int
        Version of the object that was read.
    record : LeaseRecord or None
        Content of the object that was read.
    now : float
        Monotonic time after the read, in seconds.
    """
    if previous is not None and previous.version == version:
        return previous
    return Observation(version, record, now)


def may_take_over(
    observation: Observation, settings: LeaseSettings, now: float
) -> bool:
    """
    Return whether the lease is free or its holder's term has certainly expired.

    Parameters
    ----------
    observation : Observation
        What was read of the lease object.
    settings : LeaseSettings
        Duration of the lease and margin for clock rates.
    now : float
        Monotonic time, in seconds.

    Examples
    --------
    >>> held = Observation(3, LeaseRecord("a", "r", 1), since=10.0)
    >>> may_take_over(held, LeaseSettings(duration=2.0, margin=0.2), 12.1)
    False
    >>> may_take_over(held, LeaseSettings(duration=2.0, margin=0.2), 12.3)
    True
    """
    if observation.record is None or not observation.record.run:
        return True
    return now - observation.since > settings.duration + settings.margin


def takeover_record(previous: LeaseRecord | None, vm: VmId, run: str) -> LeaseRecord:
    """
    Return the record with which a VM takes a lease over.

    Parameters
    ----------
    previous : LeaseRecord or None
        The current record, if any.
    vm, run : str
        The VM and the process that take the lease over.
    """
    return LeaseRecord(vm, run, previous.fence + 1 if previous else 1)
