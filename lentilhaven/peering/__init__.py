"""
State exchange between gateways over UDP datagrams.

Each gateway sends a datagram several times a second: its requests in flight at
each endpoint, the endpoints that it has heard from since the previous datagram, the
endpoints that it suspects, and the revisions of the manifest and the endpoint list
that it holds.  In a small fleet all other gateways receive the datagram; in a large
fleet the leaders of the data centre receive it and send back a sum over all gateways.

A gateway thus derives the load of the whole system without asking the endpoints, all
gateways avoid an endpoint as soon as one of them sees it fail, and a gateway whose
calls the platform's store refuses learns of changes from the others.

The exchange involves no consensus.  A lost datagram is superseded by the next.
"""

from lentilhaven.peering.messages import PeerMessage
from lentilhaven.peering.peer_table import PeerTable

__all__ = ["PeerMessage", "PeerTable"]
