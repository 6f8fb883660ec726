"""Forwarding of the caller's trace context to endpoints."""

from types import SimpleNamespace

import aiohttp

from lentilhaven.core.request_context import TRACEPARENT


def trace_forwarding() -> aiohttp.TraceConfig:
    """Return a trace configuration that forwards the caller's ``traceparent``."""
    config = aiohttp.TraceConfig()
    config.on_request_start.append(add_traceparent)
    return config


async def add_traceparent(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestStartParams,
) -> None:
    """Add the trace context of the current request to an outgoing request."""
    traceparent = TRACEPARENT.get()
    if traceparent:
        params.headers["traceparent"] = traceparent
