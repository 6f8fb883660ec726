"""Rate limits of one process's calls to the object API, by purpose of the call."""

import enum

import attrs


class Share(enum.Enum):
    """Purpose of a call to the object API; each has a rate limit of its own."""

    CONFIGURATION = "configuration"
    LEASES = "leases"
    JOURNAL = "journal"


@attrs.frozen
class RateLimit:
    """
    Rate limit of calls.

    Attributes
    ----------
    rate : float
        Sustained rate in calls per second.
    burst : float
        Maximum number of calls at once after a period without calls.
    """

    rate: float
    burst: float


#: Rate limits of each process.  The burst of ``CONFIGURATION`` is enough to read all
#: parts of the tables at once.
SHARE_RATES = {
    Share.CONFIGURATION: RateLimit(20.0, 200.0),
    Share.LEASES: RateLimit(10.0, 20.0),
    Share.JOURNAL: RateLimit(50.0, 100.0),
}
