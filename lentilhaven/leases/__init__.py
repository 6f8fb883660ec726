"""
Leases with fencing numbers over conditional updates.

A lease is an object of the platform's store.  Its holder renews it with
conditional updates; a VM that has seen the object unchanged for the lease's
duration, by its own monotonic clock, takes it over with a higher *fencing
number*.  No two clocks are ever compared.

The holder counts its validity from the moment at which it sent the write that
was confirmed, an observer from the moment at which it read the result, which is
later; so the holder always stops first.  A holder that was paused finds its
validity over before it acts.  What it had already sent is told apart by the
fencing number.
"""

from lentilhaven.leases.lease import Lease, open_lease
from lentilhaven.leases.lease_record import LeaseRecord
from lentilhaven.leases.lease_settings import LeaseSettings

__all__ = ["Lease", "LeaseRecord", "LeaseSettings", "open_lease"]
