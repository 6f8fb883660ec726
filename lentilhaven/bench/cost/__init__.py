"""
What one router process costs, measured on real sockets.

The router runs in a process of its own.  Its engines are one emitter process
that sends prepared lines, and its callers one load process, both written on
plain asyncio protocols so that they are cheap beside the router.
"""
