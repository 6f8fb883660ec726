"""Stand-in for any number of endpoints that only report load."""

import random

from aiohttp import web

from lentilhaven.core.converter import to_document
from lentilhaven.core.ids import EndpointId, ModelVersion
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.tables.layer_range import LayerRange

SOURCE: web.AppKey[random.Random] = web.AppKey("source", random.Random)


def reports_app(source: random.Random) -> web.Application:
    """
    Return the application that answers ``GET /ID/load`` for any endpoint.

    Parameters
    ----------
    source : random.Random
        Random number generator of the reported loads.
    """
    app = web.Application()
    app[SOURCE] = source
    app.router.add_get("/{endpoint}/load", read_load)
    return app


async def read_load(request: web.Request) -> web.Response:
    """Return a load report with random values."""
    source = request.app[SOURCE]
    report = LoadReport(
        EndpointId(request.match_info["endpoint"]),
        running=source.randrange(64),
        waiting=source.randrange(8),
        kv_used=float(source.randrange(1_000_000)),
        kv_capacity=1_000_000.0,
        version=ModelVersion("v1"),
        layers=LayerRange(0, 4),
    )
    return web.json_response(to_document(report))
