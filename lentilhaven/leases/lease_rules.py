"""Rules for taking a lease over, as pure functions of what was read."""

import attrs

from lentilhaven.core.ids import VmId
from lentilhaven.leases.lease_record import LeaseRecord
from lentilhaven.leases.lease_settings import LeaseSettings

#: Number of low bits of a fencing number that count the takeovers within one era of
#: the store.  The bits above are the era, so that no number is given out twice even if
#: the store is restored from a copy that lacks the latest takeovers.
FENCE_COUNT_BITS = 20


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
    era : int
        Era of the store in which it was read.
    """

    version: int
    record: LeaseRecord | None
    since: float
    era: int = 0


def update_observation(
    previous: Observation | None,
    version: int,
    record: LeaseRecord | None,
    now: float,
    era: int = 0,
) -> Observation:
    """
    Return the observation after a read.

    An unchanged version keeps the time at which it was first read, within one era: the
    holder may have renewed the lease before the store was restored.

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
    era : int
        Era of the store in which it was read.
    """
    if previous is not None and (previous.era, previous.version) == (era, version):
        return previous
    return Observation(version, record, now, era)


def may_take_over(
    observation: Observation, settings: LeaseSettings, now: float
) -> bool:
    """
    Return whether the lease is free or its holder's term has certainly expired.

    After a restore, a missing or released lease may have been acquired since the copy
    was taken.  It counts as free only if it was released in the current era.

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
    record = observation.record
    is_released = record is None or not record.run
    fence = record.fence if record is not None else 0
    if is_released and era_of_fence(fence) >= observation.era:
        return True
    return now - observation.since > settings.duration + settings.margin


def era_of_fence(fence: int) -> int:
    """
    Return the era of the store in which a fencing number was given out.

    Examples
    --------
    >>> era_of_fence(3), era_of_fence((2 << FENCE_COUNT_BITS) + 3)
    (0, 2)
    """
    return fence >> FENCE_COUNT_BITS


def takeover_record(
    observation: Observation, vm: VmId, run: str, highest_fence: int = 0
) -> LeaseRecord:
    """
    Return the record with which a VM takes a lease over.

    Parameters
    ----------
    observation : Observation
        What was read of the lease object.
    vm, run : str
        The VM and the process that take the lease over.
    highest_fence : int
        Highest fencing number that this process has read.

    Examples
    --------
    >>> takeover_record(Observation(0, None, 0.0), "vm-1", "r").fence
    1
    >>> restored = Observation(3, LeaseRecord("vm-1", "r", 7), 0.0, era=1)
    >>> takeover_record(restored, "vm-2", "s").fence - (1 << FENCE_COUNT_BITS)
    1
    """
    found = observation.record.fence if observation.record is not None else 0
    first_of_era = observation.era << FENCE_COUNT_BITS
    return LeaseRecord(vm, run, max(found, highest_fence, first_of_era) + 1)
