"""Shares of the platform's rate that one process may use."""

import enum

import attrs


class Share(enum.Enum):
    """What a call to the object API is made for."""

    CONFIGURATION = "configuration"
    LEASES = "leases"
    JOURNAL = "journal"


@attrs.frozen
class ShareRate:
    """
    The rate of one share.

    Attributes
    ----------
    rate : float
        Calls per second in the long run.
    burst : float
        Calls that may be made at once after a pause.
    """

    rate: float
    burst: float


#: Rates of each process.  A burst of configuration reads all parts of the tables.
SHARE_RATES = {
    Share.CONFIGURATION: ShareRate(20.0, 200.0),
    Share.LEASES: ShareRate(10.0, 20.0),
    Share.JOURNAL: ShareRate(50.0, 100.0),
}
