import json
import unittest

from hypothesis import given, settings, strategies as st

from lentilhaven.core.partial_json import load_partial
from lentilhaven.core.unreadable import MAX_KEPT_TEXTS, Unreadable, UnreadableTexts

#: Values that `json.loads` rejects, with the reason that is given.
DAMAGED = {
    b'"Quer\xe9taro"': "not UTF-8",
    b'{"a\xff": [1, 2]}': "not UTF-8",
    b"1" * 6_000: "too many digits",
    b"[" + b"7" * 6_000 + b"]": "too many digits",
    b"[" * 40_000 + b"]" * 40_000: "nested too deeply",
    b'{"a":' * 40_000 + b"0" + b"}" * 40_000: "nested too deeply",
    b'[{"]": "\\"]}", "b": tru}]': "not JSON",
}

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def pages(values, damaged, index, indent):
    """Return the text of a list with a damaged item, and the list with another one."""
    items = list(values)
    items.insert(index, "@damaged@")
    text = json.dumps({"items": items}, indent=indent).encode()
    return text.replace(b'"@damaged@"', damaged), items


class PartialJsonTests(unittest.TestCase):
    def test_names_the_reason(self):
        for damaged, reason in DAMAGED.items():
            with self.subTest(damaged=damaged[:20]):
                found = load_partial(b'{"a": %b, "b": [1]}' % damaged, 1)
                self.assertEqual(found, {"a": Unreadable(reason), "b": [1]})

    def test_keeps_indivisible_members_whole(self):
        text = b'{"spec": {"a": 1, "b": "\xe9"}, "metadata": {"a": 1, "b": "\xe9"}}'
        found = load_partial(text, 3, frozenset({"spec"}))
        unreadable = Unreadable("not UTF-8")
        self.assertEqual(found["spec"], unreadable)
        self.assertEqual(found["metadata"], {"a": 1, "b": unreadable})

    def test_rejects_text_without_structure(self):
        for text in (
            b"",
            b"{",
            b"[" * 40_000,
            b"]" * 40_000,
            b'{"a": "\xe9}',
            b'{"a": "\xe9"',
            b'{"a": "\xe9"} 1',
            b'{"a": "\xe9",}',
            b'{1: "\xe9"}',
            b'{"a" "\xe9"}',
            b'"\xe9"',
            b"\xff\xfe",
        ):
            with self.subTest(text=text[:20]), self.assertRaises(ValueError):
                load_partial(text, 3)

    def test_known_values_change_no_result(self):
        """Guard against a value that is taken for a longer or a later one."""
        known = UnreadableTexts()
        for damaged, reason in DAMAGED.items():
            text = b'{"a": %b, "b": [%b, 1], "c": [[%b]]}' % ((damaged,) * 3)
            for levels in (1, 2, 3, 1, 2, 3):
                with self.subTest(reason=reason, levels=levels):
                    found = load_partial(text, levels, known=known)
                    self.assertEqual(found, load_partial(text, levels))

    def test_known_values_are_bounded(self):
        known = UnreadableTexts(max_length=200)
        for number in range(20):
            text = b'{"a": ["%d", "\xe9", "%b"]}' % (number, b"x" * 50)
            load_partial(text, 1, known=known)
            load_partial(b'{"a": ["\xe9", "%b"]}' % (b"x" * 300), 1, known=known)
            self.assertLessEqual(known.length, 200)
            self.assertEqual(known.length, sum(map(len, known.reasons)))
        self.assertEqual(len(known.reasons), 3)

    # Guards against comparisons with thousands of versions of a short entry.
    def test_number_of_known_values_is_bounded(self):
        known = UnreadableTexts()
        for number in range(1_000):
            load_partial(b'{"a": ["%d", "\xe9"]}' % number, 1, known=known)
        self.assertLessEqual(len(known.reasons), MAX_KEPT_TEXTS)
        self.assertEqual(known.length, sum(map(len, known.reasons)))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        st.lists(VALUES, max_size=6),
        st.sampled_from(list(DAMAGED)),
        st.integers(0, 6),
        st.sampled_from([None, 0, 3]),
    )
    def test_one_damaged_item_hides_no_other(self, values, damaged, index, indent):
        text, items = pages(values, damaged, index, indent)
        found = load_partial(text, 2)["items"]
        place = min(index, len(values))
        self.assertIsInstance(found.pop(place), Unreadable)
        # Compared as text, since NaN does not equal itself.
        self.assertEqual(json.dumps(found), json.dumps(values))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(VALUES, st.data())
    def test_raises_no_other_error(self, value, data):
        text = bytearray(json.dumps([value, value]).encode())
        for _ in range(3):
            place = data.draw(st.integers(0, len(text) - 1))
            text[place] = data.draw(st.integers(0, 255))
        try:
            expected = json.loads(bytes(text))
        except (ValueError, RecursionError):
            try:
                load_partial(bytes(text), 3)
            except ValueError:
                pass
        else:
            found = load_partial(bytes(text), 3)
            self.assertEqual(json.dumps(found), json.dumps(expected))
