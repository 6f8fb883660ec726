"""Passes the caller's trace on to endpoints."""

from types import SimpleNamespace

import aiohttp

from lentilhaven.core.request_context import TRACEPARENT


def trace_forwarding() -> aiohttp.TraceConfig:
    """Return a hook that adds ``traceparent`` to a session's requests."""
    config = aiohttp.TraceConfig()
    config.on_request_start.append(add_traceparent)
    return config


async def add_traceparent(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestStartParams,
) -> None:
    """Add the current request's trace to a request."""
    traceparent = TRACEPARENT.get()
    if traceparent:
        params.headers["traceparent"] = traceparent
