import unittest

from prometheus_client.parser import text_string_to_metric_families

from lentilhaven.gateway.gateway_metrics import (
    METRICS_PATH,
    METRICS_PORT,
    open_metrics_listener,
)
from lentilhaven.gateway.tests.platform_testbed import (
    plain_replicas,
    run_on_testbed,
    two_chains,
)


class ScrapeTests(unittest.TestCase):
    def test_a_stock_parser_reads_counters_and_histograms(self):
        async def scenario(bed):
            gateway = bed.gateways[0]
            async with open_metrics_listener(gateway):
                await bed.call("/look/1", "GET")
                await bed.call("/draft/1")
                await bed.call("/nowhere/", "GET")
                url = f"http://10.0.0.1:{METRICS_PORT}{METRICS_PATH}"
                async with bed.session.get(url) as response:
                    return response.status, await response.text()

        status, text = run_on_testbed(scenario, plain_replicas() + two_chains())
        self.assertEqual(status, 200)
        families = {it.name: it for it in text_string_to_metric_families(text)}
        durations = families["http_server_request_duration_seconds"]
        counts = [it for it in durations.samples if it.name.endswith("_count")]
        self.assertEqual(sum(it.value for it in counts), 2)
        first = families["gen_ai_server_time_to_first_token_seconds"]
        self.assertTrue(any(it.value == 1 for it in first.samples))
        events = {
            it.labels["event"]: it.value
            for it in families["lentilhaven_events"].samples
        }
        self.assertEqual(events["refused: no-route"], 1)

    def test_labels_do_not_grow_with_what_callers_send(self):
        async def scenario(bed):
            gateway = bed.gateways[0]
            async with open_metrics_listener(gateway):
                for number in range(20):
                    await bed.call(f"/look/{number}", "GET", X_Any=str(number))
                return gateway.metrics.render().count(b"duration_seconds_count")

        self.assertEqual(run_on_testbed(scenario, plain_replicas()), 1)
