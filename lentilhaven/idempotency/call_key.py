"""
Creation times of idempotency keys.

References
----------
RFC 9562, section 5.7, "UUID Version 7".
"""

import random
import uuid

#: Maximum length of a key, in characters.
MAX_KEY_LENGTH = 255

#: UUID version whose first 48 bits are milliseconds since 1970.
TIME_ORDERED_VERSION = 7


def key_time(key: str) -> float | None:
    """
    Return when a key was created, or None if it is not a UUID of version 7.

    Parameters
    ----------
    key : str
        An idempotency key.

    Returns
    -------
    float or None
        Seconds since 1970 if the key is a UUID of version 7.

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


def time_ordered_key(wall_time: float, rng: random.Random) -> str:
    """
    Return a new UUID of version 7.

    Parameters
    ----------
    wall_time : float
        Wall-clock time, in seconds since 1970.
    rng : random.Random
        Random number generator.

    Examples
    --------
    >>> key_time(time_ordered_key(12.5, random.Random(1)))
    12.5
    """
    milliseconds = round(wall_time * 1000)
    value = milliseconds << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | TIME_ORDERED_VERSION << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))
