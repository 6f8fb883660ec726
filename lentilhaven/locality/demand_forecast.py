"""Forecast of the demand of a data centre over the next seconds."""

import math
from collections import deque
from collections.abc import Mapping

import attrs

from lentilhaven.locality.harmonic import Harmonic, fit_best

#: Seconds between two samples, and seconds for which samples are kept: some periods of
#: a swing, and few enough samples for a fit of about a millisecond.
SAMPLE_INTERVAL = 1.0
SAMPLE_WINDOW = 40.0

#: Shortest period that is looked for, in seconds: five samples.
MIN_PERIOD = 5.0

#: Frequencies tried for each cycle in the window.  A fit whose frequency is a quarter
#: of a cycle off has a phase that is an eighth of a period off at the ends.
STEPS_PER_CYCLE = 4

#: Frequencies tried beside the best of these, in steps.
REFINEMENTS = (-0.5, -0.25, 0.25, 0.5)

#: Number of samples below which there is no fit.
MIN_SAMPLES = 10

#: Share of the variance that a swing must explain to be used.  Of samples without a
#: swing, which vary by chance only, the best of the frequencies tried rarely explains
#: more than a third.
MIN_EXPLAINED = 0.45

#: Seconds between two fits of a series.
FIT_INTERVAL = 3.0

#: Seconds by which a sample describes the past: rates are counted over the last second,
#: and come with datagrams.
SAMPLE_AGE = 0.7

#: Half of the time that a stream lasts, in seconds: the load of now is of the requests
#: that came that long ago on average, and a new stream runs beside those that come as
#: much later.
HALF_STREAM_TIME = 1.0

#: Bounds of the expected growth.  A fall is not anticipated: in the load model at 14
#: requests per second and data centre, with swings known in advance, 8 % of the streams
#: were late with it, and 2 % without.
MIN_GROWTH, MAX_GROWTH = 1.0, 1.5


@attrs.define
class DemandSeries:
    """
    The requests per second for one service in one data centre.

    Attributes
    ----------
    samples : deque of (float, float)
        Times, in seconds, and rates.
    fit : Harmonic
        Fit of the samples.
    fitted_at : float
        Time of the fit.
    """

    samples: deque[tuple[float, float]] = attrs.field(factory=deque)
    fit: Harmonic = Harmonic(0.0)
    fitted_at: float = -math.inf

    def add(self, at: float, rate: float) -> None:
        """Add a sample, and drop those that are too old."""
        self.samples.append((at, rate))
        while self.samples[0][0] < at - SAMPLE_WINDOW:
            self.samples.popleft()

    def refit(self, now: float) -> None:
        """Fit the samples, if one is determined by them."""
        self.fitted_at = now
        span = self.samples[-1][0] - self.samples[0][0]
        if len(self.samples) < MIN_SAMPLES or span <= 0.0:
            return
        step = 2.0 * math.pi / (STEPS_PER_CYCLE * span)
        highest = int(STEPS_PER_CYCLE * span / MIN_PERIOD)
        steps = range(STEPS_PER_CYCLE, highest + 1)
        rough = fit_best(self.samples, [it * step for it in steps])
        between = [rough.frequency + it * step for it in REFINEMENTS]
        self.fit = max(
            rough, fit_best(self.samples, between), key=lambda it: it.explained
        )

    def growth(self, now: float) -> float:
        """Return the demand that a new stream meets, relative to that of the load."""
        if self.fit.explained < MIN_EXPLAINED:
            return 1.0
        before = max(self.fit.value(now - HALF_STREAM_TIME), 1e-3)
        after = max(self.fit.value(now + HALF_STREAM_TIME), 0.0)
        return min(MAX_GROWTH, max(MIN_GROWTH, after / before))


@attrs.define
class DemandForecast:
    """
    The expected demand of one data centre, by service.

    Attributes
    ----------
    series : dict
        `DemandSeries` by service.
    sampled_at : float
        Time of the last sample, in seconds.

    Examples
    --------
    >>> forecast = DemandForecast()
    >>> for at in range(30):
    ...     forecast.observe(at, {"gen": 10 + 5 * math.sin(at / 2), "even": 10.0})
    >>> [round(forecast.growth("gen", at), 2) for at in (29.0, 37.0)]
    [1.0, 1.5]
    >>> forecast.growth("even", 37.0)
    1.0
    """

    series: dict[str, DemandSeries] = attrs.field(factory=dict)
    sampled_at: float = -math.inf

    def is_due(self, now: float) -> bool:
        """Return whether it is time for a sample."""
        return now - self.sampled_at >= SAMPLE_INTERVAL

    def observe(self, now: float, rates: Mapping[str, float]) -> None:
        """
        Add a sample of the present rates.

        At most one series is fitted in a call, to keep it short.

        Parameters
        ----------
        now : float
            The time, in seconds.
        rates : mapping
            Requests per second, by service.
        """
        self.sampled_at = now
        for name in self.series.keys() - rates.keys():
            del self.series[name]
        for name, rate in rates.items():
            self.series.setdefault(name, DemandSeries()).add(now - SAMPLE_AGE, rate)
        oldest = min(self.series.values(), key=lambda it: it.fitted_at, default=None)
        if oldest is not None and now - oldest.fitted_at >= FIT_INTERVAL:
            oldest.refit(now)

    def growth(self, service: str, now: float) -> float:
        """
        Return the demand that a new stream meets, relative to that of the present load.

        It is 1 for a service in whose demand no regular swing is seen.
        """
        series = self.series.get(service)
        return series.growth(now) if series else 1.0
