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
from lentilhaven.peering.queue_state import QueueState
from lentilhaven.serving.queue_metrics import SENT_AWAY


def samples_of(gateway, label):
    """Return the samples with a label, by name and value of the label."""
    found = {}
    text = gateway.metrics.render().decode()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if label in sample.labels:
                key = sample.labels[label]
                found.setdefault(sample.name, {})[key] = sample.value
    return found


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

    def test_queues_have_a_bounded_number_of_series(self):
        """Guards against series that grow with the priorities of a manifest."""

        async def scenario(bed):
            gateway = bed.gateways[0]
            waiting = {priority: (2, 800.0) for priority in range(90)}
            gateway.queue_states = lambda: {"a": QueueState(waiting)}
            async with open_metrics_listener(gateway):
                for priority in range(90):
                    gateway.queue_metrics.record_wait(priority, 0.3)
                return samples_of(gateway, "lentilhaven_priority")

        found = run_on_testbed(scenario, plain_replicas())
        lengths = found["lentilhaven_queue_length"]
        self.assertEqual(len(lengths), 9)
        self.assertEqual((lengths["0"], lengths["other"]), (2, 164))
        self.assertEqual(found["lentilhaven_queue_wait_seconds_count"]["other"], 82)

    def test_requests_to_another_data_centre_are_counted(self):
        async def scenario(bed):
            for gateway in (0, 1, 1):
                await bed.call("/look/1", "GET", gateway=gateway)
            async with open_metrics_listener(bed.gateways[1]):
                away = samples_of(bed.gateways[1], "lentilhaven_data_centre")
            return away, bed.gateways[0].counters

        away, counters = run_on_testbed(
            scenario, plain_replicas(), gateways=2, data_centres=2
        )
        self.assertEqual(away["lentilhaven_requests_sent_away_total"], {"dc-a": 2})
        self.assertFalse([name for name in counters if name.startswith(SENT_AWAY)])
