import json
import unittest
import zlib

from lentilhaven.peering.messages import (
    Member,
    PeerMessage,
    decode_message,
    encode_message,
)

#: Numbers that are not finite, as JSON: one too large, and two as text.
NUMBERS = ("1e999", "-1e999", '"nan"', '"inf"')

#: Values of fields of a datagram; each number is in the place of "@".
FIELDS = {
    "capacity": "@",
    "checked": "@",
    "loads": {"e": [1, "@"]},
    "pipes": {"a b": "@"},
    "heard": {"e": "@"},
    "suspects": {"e": [0.1, "@"]},
    "members": [["10.0.0.2:7000", "a", "@"]],
    "paces": {"e": ["@", 0.1]},
}


class FiniteNumberTests(unittest.TestCase):
    """Guard against numbers that remain in sums: infinity less itself is NaN."""

    def decode(self, name, number):
        """Return a datagram one of whose fields holds a number."""
        sent = PeerMessage(
            "vm-1", "r", "10.0.0.1:7000", 1, members=(Member("10.0.0.2:7000", "a", 1),)
        )
        fields = json.loads(zlib.decompress(encode_message(sent)))
        text = json.dumps(fields | {name: FIELDS[name]}).replace('"@"', number)
        return decode_message(zlib.compress(text.encode()))

    # Guards against infinity that JSON's own name for it does not reveal.
    def test_datagram_with_a_number_that_is_not_finite_is_ignored(self):
        for name in FIELDS:
            self.assertIsNotNone(self.decode(name, "1.5"))
            for number in NUMBERS:
                with self.subTest(name=name, number=number):
                    self.assertIsNone(self.decode(name, number))
