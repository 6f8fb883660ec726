"""
Leases with fencing numbers, built on conditional updates.

A lease is an object in the platform's store.  Its holder renews it with
conditional updates.  A VM that has read the same version of the object for
longer than the lease's duration, by its own monotonic clock, takes the lease
over with a higher *fencing number*.  Clocks of different VMs are never compared.

The holder measures its term from the time at which it sent the confirmed write,
and an observer measures it from the time at which it read the result.  The read
is later, so the holder always stops first.  A holder that was paused checks
whether its term has expired before it acts.  Requests that it sent before the
pause are recognised by their fencing number.
"""

from lentilhaven.leases.lease import Lease, open_lease
from lentilhaven.leases.lease_record import LeaseRecord
from lentilhaven.leases.lease_settings import LeaseSettings

__all__ = ["Lease", "LeaseRecord", "LeaseSettings", "open_lease"]
