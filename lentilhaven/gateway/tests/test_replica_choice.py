import unittest
from random import Random

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.replica_choice import choose_replica
from lentilhaven.gateway.tests.platform_testbed import sample_settings
from lentilhaven.peering.messages import PeerMessage
from lentilhaven.platform.settings import decode_settings


class OwnDataCentreTests(unittest.TestCase):
    """
    Guards against needless bytes between data centres, and against waiting for them.

    A replica of the own data centre with free slots comes first; one that is full, has
    failed or is slow does not.
    """

    def setUp(self):
        self.gateway = Gateway(decode_settings(sample_settings(0)), random=Random(1))
        self.replicas = [
            Endpoint(name, "stock", f"{name}:1", f"dc-{name}", slots=6) for name in "ab"
        ]
        self.near = self.gateway.endpoint_states.of(self.replicas[0])

    def choices(self):
        return {choose_replica(self.gateway, self.replicas, 0.0).id for _ in range(50)}

    def test_free_one_comes_first(self):
        self.near.requests = 1
        self.assertEqual(self.choices(), {"a"})

    def test_full_one_does_not(self):
        message = PeerMessage("vm-2", "r", "10.0.0.2:7000", 1, loads={"a": (5, 5.0)})
        self.gateway.peers.receive(message, 0.0)
        self.near.latency = 0.03
        self.assertEqual(self.choices(), {"b"})

    def test_failing_or_slow_one_does_not(self):
        self.near.failures = 1.0
        self.assertEqual(self.choices(), {"b"})
        self.near.failures, self.near.latency = 0.0, 0.2
        self.assertEqual(self.choices(), {"b"})
