"""
Datagrams of the release before.

It knows no eras, no marks, no versions and no parts of prompts.
"""

import json
import math
import unittest
import zlib

from lentilhaven.core.store_position import StorePosition
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.endpoint_history import EndpointChanges
from lentilhaven.fleet.store_era import StoreEra
from lentilhaven.peering.messages import (
    BreakerState,
    LimitState,
    PeerMessage,
    decode_message,
    encode_message,
)
from lentilhaven.peering.queue_state import QueueState
from lentilhaven.peering.subject import Subject, SubjectKind

REQUEST = SubjectKind.REQUEST

#: Fields of a datagram that the release before neither sends nor reads.
NEW_FIELDS = (
    "era",
    "manifest_version",
    "paces",
    "leaving",
    "prompt_ends",
    "prompt_proofs",
    "request_ends",
    "request_proofs",
    "breakers",
    "ended",
    "attempts",
    "sent",
    "limits",
    "unreached",
    "queues",
    "unread",
)

#: Fields of a datagram that the release before reads.
KNOWN_FIELDS = {
    "vm",
    "run",
    "address",
    "number",
    "scope",
    "data_centre",
    "capacity",
    "gateways",
    "relay",
    "manifest_revision",
    "endpoints_revision",
    "digest",
    "checked",
    "loads",
    "pipes",
    "heard",
    "suspects",
    "members",
    "changes",
    "wants_answer",
    "ready",
    "places",
}

#: Fields of an endpoint that the release before accepts; it refuses any other.
ENDPOINT_FIELDS = {
    "id",
    "service",
    "address",
    "data_centre",
    "slots",
    "draining",
    "born",
    "card",
    "layers",
    "model",
}


def message_with_changes(era):
    changes = EndpointChanges(
        StorePosition(era, 3),
        StorePosition(era, 5),
        (Endpoint("a", "s", "10.0.0.1:80", "z", sequence=7),),
        ("b",),
    )
    return PeerMessage(
        "vm-1",
        "r",
        "10.0.0.1:7000",
        1,
        endpoints_revision=5,
        changes=changes,
        era=era,
        manifest_version=4,
        paces={"a": (3.0, 0.2)},
        leaving=(("c", 9),),
        prompt_ends={Subject("gen", "5c1e"): {("a", 7): 1.5, ("b", 8): 0.2}},
        prompt_proofs={Subject("gen", "91bd"): 0.4},
        request_ends={Subject("gen", "af26", REQUEST): {("a", 7): 1.5}},
        request_proofs={Subject("gen", "5b25", REQUEST): 0.3},
        breakers={Subject("gen", "af26", REQUEST): BreakerState(1.5, 118.5, 0)},
        ended={("a", 7): 1.5},
        attempts={"gen": 12.0},
        unreached=(("b", 8),),
        sent={"a": 4},
        limits={("a", 7): LimitState(6.4, 0.2)},
        queues={"gen": QueueState({0: (1, 800.0)}, {0: 40.0}, (("depot", 0, 40.0),))},
        unread={"a": 4000.0},
    )


def fields_of(data):
    return json.loads(zlib.decompress(data))


class MixedReleaseTests(unittest.TestCase):
    def test_own_datagram_is_read_back(self):
        message = message_with_changes(2)
        self.assertEqual(decode_message(encode_message(message)), message)

    def test_datagram_without_the_new_fields_is_read(self):
        fields = fields_of(encode_message(message_with_changes(0)))
        for name in NEW_FIELDS:
            del fields[name]
        message = decode_message(zlib.compress(json.dumps(fields).encode()))
        self.assertEqual((message.era, message.manifest_version), (None, None))
        self.assertEqual(message.leaving, ())
        self.assertEqual((message.prompt_ends, message.prompt_proofs), ({}, {}))
        self.assertEqual((message.request_ends, message.request_proofs), ({}, {}))
        self.assertEqual((message.breakers, message.ended), ({}, {}))
        self.assertEqual((message.sent, message.limits), ({}, {}))
        self.assertEqual((message.queues, message.unread), ({}, {}))
        self.assertIsNone(message.attempts)
        self.assertIsNone(message.unreached)
        self.assertEqual(message.changes.until, StorePosition(0, 5))

    def test_new_fields_stand_beside_those_that_the_release_before_reads(self):
        fields = fields_of(encode_message(message_with_changes(2)))
        self.assertEqual(set(fields), KNOWN_FIELDS | set(NEW_FIELDS))

    def test_malformed_evidence_makes_a_datagram_unreadable(self):
        fields = fields_of(encode_message(message_with_changes(2)))
        bad_ends = ([["gen"]], [["gen", "5c1e", [["a", "x", 1]]]], 7)
        malformed = {
            "prompt_ends": bad_ends,
            "request_ends": bad_ends,
            "request_proofs": ([["gen", "af26", "soon"]], [["gen", "af26", math.nan]]),
            "breakers": (
                [["request", "gen", "af26", 1.0, math.inf, 0]],
                [["tenant", "gen", "af26", 1.0, 2.0, 0]],
                [["request", "gen", "af26", 1.0]],
            ),
            "ended": ([["a", 7]], [["a", 7, math.inf]]),
            "attempts": ({"gen": "many"}, 7),
            "sent": ({"a": "many"}, 7),
            "limits": ([["a", 7]], [["a", 7, math.nan, 0.1, None]]),
        }
        for name, values in malformed.items():
            for value in values:
                with self.subTest(name=name, value=value):
                    text = json.dumps(fields | {name: value}).encode()
                    self.assertIsNone(decode_message(zlib.compress(text)))

    def test_changes_hold_only_what_the_release_before_accepts(self):
        fields = fields_of(encode_message(message_with_changes(2)))
        since, until, changed, gone = fields["changes"]
        self.assertEqual((since, until, gone), (3, 5, ["b"]))
        self.assertEqual(set(changed[0]), ENDPOINT_FIELDS)

    def test_its_positions_count_until_the_store_is_restored(self):
        era = StoreEra()
        era.learn(1, "store")
        self.assertEqual(era.position(None, 8), StorePosition(1, 8))
        era.learn(2, "store")
        self.assertLess(era.position(None, 8), StorePosition(1, 0))
