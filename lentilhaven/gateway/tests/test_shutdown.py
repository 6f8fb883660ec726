import asyncio
import unittest

import attrs

from lentilhaven.draining.stop_schedule import ACCEPT_TIME
from lentilhaven.gateway.listeners import open_caller_listener
from lentilhaven.gateway.program import drain
from lentilhaven.gateway.tests.platform_testbed import (
    plain_replicas,
    run_on_testbed,
    sample_manifest,
    two_chains,
)


class ShutdownTests(unittest.TestCase):
    """Callers keep using their connections while a gateway shuts down."""

    def run_shutdown(self, scenario):
        async def main(bed):
            gateway = bed.gateways[0]
            # A second listener of the same gateway, which the test shuts down.
            gateway.settings = change_port(gateway.settings)
            async with open_caller_listener(gateway) as listener:
                return await scenario(bed, gateway, listener)

        return run_on_testbed(main, two_chains() + plain_replicas())

    def test_a_stream_that_runs_is_finished(self):
        async def scenario(bed, gateway, listener):
            stream = asyncio.ensure_future(bed.call("/draft/1", output=800, port=7500))
            await asyncio.sleep(0.5)
            began = asyncio.get_running_loop().time()
            await drain(gateway, listener)
            took = asyncio.get_running_loop().time() - began
            return await stream, took

        reply, took = self.run_shutdown(scenario)
        self.assertTrue(reply.complete)
        self.assertEqual(reply.event_ids, list(range(1, 201)))
        self.assertGreaterEqual(took, ACCEPT_TIME)

    def test_nothing_is_taken_that_could_not_be_finished(self):
        async def scenario(bed, gateway, listener):
            await bed.call("/look/1", "GET", port=7500)
            stream = asyncio.ensure_future(bed.call("/draft/1", output=800, port=7500))
            shutdown = asyncio.ensure_future(drain(gateway, listener))
            await asyncio.sleep(ACCEPT_TIME / 2)
            early = await bed.call("/look/2", "GET", port=7500)
            await asyncio.sleep(ACCEPT_TIME / 2 + 0.1)
            refuses_requests = gateway.refuses_requests
            await asyncio.gather(shutdown, stream)
            return early, refuses_requests

        early, refuses_requests = self.run_shutdown(scenario)
        self.assertEqual(early.status, 200)
        self.assertEqual(early.headers.get("Connection"), "close")
        self.assertTrue(refuses_requests)

    def test_an_idle_connection_is_closed_and_not_left_unserved(self):
        async def scenario(bed, gateway, listener):
            reader, writer = await asyncio.open_connection("10.0.0.1", 7500)
            request = (
                "GET /look/1 HTTP/1.1\r\nHost: depot.example\r\nRequest-Id: x\r\n"
                "Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-depot\r\n\r\n"
            )
            writer.write(request.encode())
            await reader.readuntil(b"\r\n\r\n")
            await drain(gateway, listener)
            await reader.read(1000)
            return await asyncio.wait_for(reader.read(), 1.0)

        self.assertEqual(self.run_shutdown(scenario), b"")

    def test_a_request_on_a_connection_that_is_about_to_close_has_not_run(self):
        async def scenario(bed, gateway, listener):
            gateway.refuses_requests = True
            reply = await bed.call("/post/1", port=7500)
            return reply, bed.fleet.runs

        reply, runs = self.run_shutdown(scenario)
        self.assertEqual((reply.status, runs), (503, []))
        self.assertIn("Retry-After", reply.headers)


class IdleTests(unittest.TestCase):
    def test_idle_connections_follow_the_manifest_that_is_in_force(self):
        async def scenario(bed):
            loop = asyncio.get_running_loop()
            began = loop.time()
            before, _ = await asyncio.open_connection("10.0.0.1", 7000)
            manifest = sample_manifest(2)
            manifest["limits"]["idle_timeout_ms"] = 3_000
            bed.store.put("config", "main", manifest)
            await asyncio.sleep(0.5)
            reader, writer = await asyncio.open_connection("10.0.0.1", 7000)
            await asyncio.sleep(4.0)
            open_before_timeout = not reader.at_eof()
            await asyncio.wait_for(reader.read(), 4.0)
            writer.close()
            # Its caller has been given 30 s, from which the edit takes nothing.
            await asyncio.sleep(began + 30.0 - loop.time())
            open_as_promised = not before.at_eof()
            await asyncio.wait_for(before.read(), 4.0)
            return open_before_timeout, open_as_promised

        self.assertEqual(run_on_testbed(scenario, plain_replicas()), (True, True))


def change_port(settings):
    """Return the settings with another port for callers."""
    return attrs.evolve(settings, callers=f"{settings.address}:7500")
