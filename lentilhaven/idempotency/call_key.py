"""
The time that an idempotency key carries.

References
----------
RFC 9562, section 5.7, "UUID Version 7".
"""

import random
import uuid

#: Longest key, in characters.
MAX_KEY_LENGTH = 255

#: Version of the UUIDs whose first 48 bits are milliseconds since 1970.
TIME_ORDERED_VERSION = 7


def key_time(key: str) -> float | None:
    """
    Return when a key was made, or None for a key that does not tell.

    Parameters
    ----------
    key : str
        An idempotency key.

    Returns
    -------
    float or None
        Seconds since 1970, for a UUID of version 7.

    Examples
    --------
    >>> key_time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
    1645557742.0
    >>> key_time("issue-4711") is None
    True
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != TIME_ORDERED_VERSION:
        return None
    return (parsed.int >> 80) / 1000


def time_ordered_key(wall: float, source: random.Random) -> str:
    """
    Return a new UUID of version 7.

    Parameters
    ----------
    wall : float
        Seconds since 1970.
    source : random.Random
        Source of chance.

    Examples
    --------
    >>> key_time(time_ordered_key(12.5, random.Random(1)))
    12.5
    """
    milliseconds = round(wall * 1000)
    value = milliseconds << 80 | source.getrandbits(80)
    value = value & ~(0xF << 76) | TIME_ORDERED_VERSION << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))
