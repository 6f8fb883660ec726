"""Whether a request stays in the data centre of its gateway."""

from random import Random

#: Largest mean pause of a stream that stays, as a share of the longest pause that its
#: caller accepts.  Pauses vary: of those that are exponentially distributed, one in 55
#: is longer than four times their mean.
MAX_PAUSE_SHARE = 0.25

#: Part of that range in which some of the requests leave already.  Gateways with the
#: same information then move a part of the work instead of all at once.
GRADUAL_PART = 0.5


def stays_local(mean_pause: float, longest_pause: float, rng: Random) -> bool:
    """
    Return whether a stream is in time on the best chain of its own data centre.

    The share of the streams that stay falls linearly from all to none as the mean pause
    passes through the upper `GRADUAL_PART` of what is in time.

    Parameters
    ----------
    mean_pause : float
        Expected mean pause between two events on that chain, in seconds.
    longest_pause : float
        Longest pause with which an answer is in time, in seconds.
    rng : random.Random
        Random number generator.

    Examples
    --------
    >>> stays_local(0.03, 0.25, Random(1)), stays_local(0.07, 0.25, Random(1))
    (True, False)
    """
    threshold = 1.0 - GRADUAL_PART * rng.random()
    return mean_pause <= threshold * MAX_PAUSE_SHARE * longest_pause
