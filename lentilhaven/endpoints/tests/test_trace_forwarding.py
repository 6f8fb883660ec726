import unittest

import aiohttp
from aiohttp import web

from lentilhaven.core.ids import RequestId
from lentilhaven.core.request_context import bind_request
from lentilhaven.core.serving import serve_app
from lentilhaven.endpoints.trace_forwarding import trace_forwarding

TRACE = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


async def return_trace(request):
    return web.json_response(request.headers.getall("traceparent", []))


class TraceForwardingTests(unittest.IsolatedAsyncioTestCase):
    async def test_forwards_only_a_valid_traceparent_and_only_once(self):
        app = web.Application()
        app.router.add_get("/", return_trace)
        async with (
            serve_app(app) as url,
            aiohttp.ClientSession(trace_configs=[trace_forwarding()]) as session,
        ):
            for received, expected in ((TRACE, [TRACE]), ("x", []), ("", [])):
                bind_request(RequestId("r"), received)
                async with session.get(url) as response:
                    self.assertEqual(await response.json(), expected)
