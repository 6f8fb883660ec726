"""Least-squares fit of a mean and one harmonic to samples of a quantity."""

import math
from collections.abc import Iterable, Sequence
from operator import mul

import attrs

#: Determinant below which the samples do not determine the three coefficients.
MIN_DETERMINANT = 1e-9


@attrs.frozen
class Harmonic:
    """
    A quantity that swings about a mean.

    Attributes
    ----------
    mean : float
        The mean.
    cosine, sine : float
        Coefficients of the swing.
    frequency : float
        Frequency of the swing, in radians per second.
    explained : float
        Share of the samples' variance that the swing explains, from 0 to 1.

    Examples
    --------
    >>> samples = [(at, 10 + 4 * math.cos(at)) for at in range(12)]
    >>> found = fit_harmonic(samples, 1.0)
    >>> round(found.value(20.0) - (10 + 4 * math.cos(20.0)), 6)
    0.0
    """

    mean: float
    cosine: float = 0.0
    sine: float = 0.0
    frequency: float = 0.0
    explained: float = 0.0

    def value(self, at: float) -> float:
        """Return the quantity at a time, in seconds."""
        angle = self.frequency * at
        return self.mean + self.cosine * math.cos(angle) + self.sine * math.sin(angle)


def fit_best(
    samples: Sequence[tuple[float, float]], frequencies: Iterable[float]
) -> Harmonic:
    """
    Return the fit that explains the most, among some frequencies.

    Parameters
    ----------
    samples : sequence of (float, float)
        Times in seconds, and values; at least one.
    frequencies : iterable of float
        Frequencies to try, in radians per second.
    """
    flat = Harmonic(sum(value for _, value in samples) / len(samples))
    fits = (fit_harmonic(samples, frequency) for frequency in frequencies)
    return max((flat, *fits), key=lambda fit: fit.explained)


def fit_harmonic(samples: Sequence[tuple[float, float]], frequency: float) -> Harmonic:
    """
    Return the least-squares fit of a mean and one harmonic.

    Returns a fit without a swing if the samples do not determine one.

    Parameters
    ----------
    samples : sequence of (float, float)
        Times in seconds, and values; at least one.
    frequency : float
        Frequency in radians per second.
    """
    count = len(samples)
    mean = sum(value for _, value in samples) / count
    angles = [frequency * at for at, _ in samples]
    cosines, sines = list(map(math.cos, angles)), list(map(math.sin, angles))
    values = [value - mean for _, value in samples]
    mean_cosine, mean_sine = sum(cosines) / count, sum(sines) / count
    # Sums over the samples without their means, so that two equations are left.
    squares = dot(cosines, cosines)
    cc = squares - count * mean_cosine * mean_cosine
    ss = count - squares - count * mean_sine * mean_sine
    cs = dot(cosines, sines) - count * mean_cosine * mean_sine
    cv, sv, variance = dot(cosines, values), dot(sines, values), dot(values, values)
    determinant = cc * ss - cs * cs
    if determinant < MIN_DETERMINANT or variance <= 0.0:
        return Harmonic(mean)
    cosine = (cv * ss - sv * cs) / determinant
    sine = (sv * cc - cv * cs) / determinant
    return Harmonic(
        mean - cosine * mean_cosine - sine * mean_sine,
        cosine,
        sine,
        frequency,
        (cosine * cv + sine * sv) / variance,
    )


def dot(one: Sequence[float], other: Sequence[float]) -> float:
    """Return the sum of the products of two sequences."""
    return sum(map(mul, one, other))
