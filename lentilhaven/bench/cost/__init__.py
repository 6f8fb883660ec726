"""
Measures the cost of one router process on real sockets.

The router runs in its own process.  One emitter process stands in for the agent
and the engines and sends prepared lines; one load process sends the requests.
Both are plain asyncio protocols, so that their own cost is small compared with
the router's.
"""
