"""
Random sources derived from one seed.

Each component draws from a source of its own, so that a draw added to one
component leaves the draws of all the others as they were.
"""

import random

import xxhash


def derive_random(seed: int, *names: str) -> random.Random:
    """
    Return a random source for the component that `names` identifies.

    Parameters
    ----------
    seed : int
        Seed of the whole run.
    *names : str
        Path of the component.

    Examples
    --------
    >>> derive_random(1, "router").random() == derive_random(1, "router").random()
    True
    >>> derive_random(1, "router").random() == derive_random(1, "agent").random()
    False
    """
    key = "\x00".join((str(seed), *names))
    return random.Random(xxhash.xxh3_64_intdigest(key.encode()))
