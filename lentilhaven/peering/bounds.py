"""Bounds on what is read of a datagram."""

#: Maximum number of entries that are read of a list, and of characters of a name in
#: it.  Both are larger than what any gateway sends.
MAX_ENTRIES = 256
MAX_NAME_LENGTH = 256


def is_name(text: str) -> bool:
    """Return whether a text may be kept and logged as a name."""
    return len(text) <= MAX_NAME_LENGTH and text.isprintable()
