"""
What gateways tell each other.

Each gateway sends all others a datagram several times a second: the requests
that it has under way at each endpoint, the endpoints that it has heard of since
the last one, those that it suspects, and the revisions of what it knows.  With
this a gateway sees the load of the whole system without asking the endpoints,
a failed endpoint that one has noticed is avoided by all, and a gateway that the
platform's store does not serve learns from the others what has changed.

Nothing is agreed here.  A datagram that is lost is replaced by the next.
"""

from lentilhaven.peering.news import PeerNews
from lentilhaven.peering.peer_table import PeerTable

__all__ = ["PeerNews", "PeerTable"]
