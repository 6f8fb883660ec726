"""
Random number generators derived from one seed.

Each component has its own generator, so that an additional draw in one component
does not change the random numbers of the others.
"""

import random

import xxhash


def derive_random(seed: int, *names: str) -> random.Random:
    """
    Return a random number generator for the component that `names` identifies.

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
