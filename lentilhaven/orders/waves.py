"""Selection of the endpoints that may change their version next."""

from collections import defaultdict
from collections.abc import Iterable

import attrs

from lentilhaven.core.ids import EndpointId
from lentilhaven.orders.endpoint_order import EndpointReport, Phase


@attrs.frozen
class WaveRules:
    """
    Limits on concurrent version changes of endpoints.

    Attributes
    ----------
    max_unavailable : float
        Largest share of the replicas of a range that may be out of service at
        once.  One replica may always be, as long as another one serves.
    max_concurrent_loads : int
        Largest number of endpoints that load from the weight store at once.
    """

    max_unavailable: float = 0.25
    max_concurrent_loads: int = 4


def next_wave(
    reports: Iterable[EndpointReport], draining: set[EndpointId], rules: WaveRules
) -> list[EndpointId]:
    """
    Return the endpoints that should start draining, in order of name.

    No range loses more replicas than `max_unavailable` allows, and the last serving
    replica of a range is never drained, whether the others are loading,
    draining or down.  Replicas are taken from the ranges in turn, so that all
    ranges change together and a complete pipeline of the new version is
    available early.

    Parameters
    ----------
    reports : iterable of EndpointReport
        Reports of every endpoint of the pool.
    draining : set of str
        Endpoints that earlier waves selected and that still serve.
    rules : WaveRules
        Limits on concurrent version changes of endpoints.
    """
    ranges: dict[tuple[int, int], list[EndpointReport]] = defaultdict(list)
    for report in sorted(reports, key=lambda it: it.endpoint):
        ranges[report.layers.start, report.layers.stop].append(report)
    # Draining endpoints count as loading, since they load a version next.
    loads = len(draining) + sum(
        report.phase is Phase.LOADING for group in ranges.values() for report in group
    )
    chosen: list[EndpointId] = []
    candidates = {span: spare(group, draining, rules) for span, group in ranges.items()}
    while any(candidates.values()):
        for span in sorted(candidates):
            if candidates[span] and loads + len(chosen) < rules.max_concurrent_loads:
                chosen.append(candidates[span].pop(0))
            else:
                candidates[span] = []
    return sorted(chosen)


def spare(
    group: list[EndpointReport], draining: set[EndpointId], rules: WaveRules
) -> list[EndpointId]:
    """
    Return the replicas of one range that may start draining now.

    Parameters
    ----------
    group : list of EndpointReport
        All replicas of the range, in order of name.
    draining : set of str
        Endpoints that earlier waves selected and that still serve.
    rules : WaveRules
        Limits on concurrent version changes of endpoints.
    """
    available = [
        report
        for report in group
        if report.phase is Phase.SERVING and report.endpoint not in draining
    ]
    unavailable = len(group) - len(available)
    allowed = max(1, int(len(group) * rules.max_unavailable)) - unavailable
    count = max(0, min(allowed, len(available) - 1))
    outdated = [report.endpoint for report in available if report.outdated]
    return outdated[:count]
