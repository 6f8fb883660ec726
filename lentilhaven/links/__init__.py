"""
Ways to endpoints to which a gateway's own links are gone.

A gateway may be cut off from some or all endpoints while callers, the store and the
other gateways still reach it.  An endpoint that it can't connect to, but another
gateway can, is not at fault.  The gateway then opens its connections to the endpoint
through the other one, which only copies bytes: what is sent, retried, counted and
refused is decided where the request is, by what all gateways know together.

- `race`: tries the own link and other gateways one after the other, without waiting for
  each to time out.
- `relay_choice`: which gateways are asked.
- `handshake` and `frames`: what two gateways say to each other on such a connection.
- `tunnel_client` and `tunnel_server`: its two ends.

A gateway connects only to the endpoint itself on behalf of another one, so that no
connection passes more than one other gateway.
"""
