"""Values that can't be decoded."""

from collections import OrderedDict

import attrs

#: Largest number of characters of values that can't be decoded that are kept: two
#: objects of the largest size that the platform's store accepts.
MAX_KEPT_LENGTH = 2_000_000

#: Largest number of values that can't be decoded that are kept: each text is compared
#: with all of them.
MAX_KEPT_TEXTS = 100


@attrs.frozen
class Unreadable:
    """
    Takes the place of a value that can't be decoded.

    Attributes
    ----------
    reason : str
        Why it can't be decoded, without its content.
    """

    reason: str


@attrs.define
class UnreadableTexts:
    """
    Texts of lists and objects that can't be decoded, with the reasons.

    What was found once is found again by a comparison of texts, which takes far less
    time than the search for its end.

    Attributes
    ----------
    reasons : OrderedDict
        The values in place of the texts, the one that was added first at first.
    length : int
        Number of characters of all texts.
    max_length : int
        Largest number of characters that are kept.

    Examples
    --------
    >>> texts = UnreadableTexts()
    >>> texts.add("[[]]", Unreadable("nested too deeply"))
    >>> texts.find("[7, [[]]]", 4)
    (Unreadable(reason='nested too deeply'), 8)
    """

    reasons: OrderedDict[str, Unreadable] = attrs.field(factory=OrderedDict)
    length: int = 0
    max_length: int = MAX_KEPT_LENGTH

    def add(self, text: str, value: Unreadable) -> None:
        """Keep the whole text of a list or an object, unless it is too long."""
        if len(text) > self.max_length or text in self.reasons:
            return
        self.reasons[text] = value
        self.length += len(text)
        while self.length > self.max_length or len(self.reasons) > MAX_KEPT_TEXTS:
            dropped, _ = self.reasons.popitem(last=False)
            self.length -= len(dropped)

    def find(self, text: str, position: int) -> tuple[Unreadable, int] | None:
        """Return the value that begins at a position, and the position behind it."""
        for known, value in self.reasons.items():
            # Brackets are balanced, so that the value ends where the known text does.
            if text.startswith(known, position):
                return value, position + len(known)
        return None
