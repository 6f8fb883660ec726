import unittest

from lentilhaven.control import EndpointState
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.load import EndpointLoad, merge_loads, summarise_pools, view_endpoints
from lentilhaven.load.endpoint_load import decode_load, encode_load
from lentilhaven.load.load_merge import MAX_REPORT_AGE
from lentilhaven.membership import Fact
from lentilhaven.tables import EndpointSpec, LayerRange, Pool, Tables
from lentilhaven.tables.pool import PoolKind

REPORT = LoadReport("e1", 3, 1, 10.0, 100.0, "v1", LayerRange(0, 4))


def make_tables():
    specs = [
        EndpointSpec(name, "http://h:1", data_centre, LayerRange(0, 4), "v1")
        for name, data_centre in (("e1", "ruwi"), ("e2", "ruwi"), ("e3", "seeb"))
    ]
    return Tables(pools=[Pool("big", PoolKind.ENGINE, specs, "m", 4)])


def make_fact(writer, *loads, age=0.0):
    return Fact("load", writer, 1, 1, age, [encode_load(load) for load in loads])


class LoadDigestTests(unittest.TestCase):
    def test_encoding_round_trip_preserves_a_load(self):
        load = EndpointLoad("e1", REPORT, 1.5, 0.25, 1)
        self.assertEqual(decode_load(encode_load(load)), load)

    def test_the_most_recent_response_wins(self):
        stale = make_fact("vm-1", EndpointLoad("e1", REPORT, 9.0, 9.0, 5))
        recent = make_fact("vm-2", EndpointLoad("e1", REPORT, 0.5, 0.5), age=1.0)
        self.assertEqual(merge_loads([stale, recent])["e1"].age, 1.5)
        views = view_endpoints(make_tables(), [stale, recent], [], [])
        self.assertIs(views["e1"].state, EndpointState.LIVE)

    def test_a_delayed_report_counts_as_old_and_not_as_idle(self):
        fact = make_fact("vm-1", EndpointLoad("e1", REPORT, 2.0, 2.0, 2), age=5.0)
        view = view_endpoints(make_tables(), [fact], [], [])["e1"]
        self.assertEqual((view.age, view.report), (7.0, REPORT))
        self.assertIs(view.state, EndpointState.SUSPECT)

    def test_an_expired_or_missing_report_is_none(self):
        fact = make_fact(
            "vm-1", EndpointLoad("e1", REPORT, 1.0, 1.0), age=MAX_REPORT_AGE
        )
        views = view_endpoints(make_tables(), [fact], [], [])
        self.assertIsNone(views["e1"].report)
        self.assertIsNone(views["e2"].report)

    def test_other_data_centres_are_seen_as_the_mean_of_their_pool(self):
        fact = make_fact("vm-1", EndpointLoad("e1", REPORT, 1.0, 1.0))
        pools = summarise_pools(make_tables(), [fact], "ruwi")
        value = {"data_centre": "seeb", "pools": pools}
        summary = Fact("summary", "vm-9", 1, 1, 2.0, value)
        view = view_endpoints(make_tables(), [], [summary], [])["e3"]
        self.assertEqual((view.report.running, view.age), (3, 3.0))

    def test_an_endpoint_with_a_leaving_fact_is_leaving_in_every_view(self):
        leaving = Fact("leaving", "vm-9", 1, 1, 0.0, {"vm": False, "endpoints": ["e3"]})
        views = view_endpoints(make_tables(), [], [], [leaving])
        self.assertIs(views["e3"].state, EndpointState.LEAVING)
