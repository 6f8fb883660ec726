"""Which endpoints may change their version now."""

from collections import defaultdict
from collections.abc import Iterable

import attrs

from lentilhaven.core.ids import EndpointId
from lentilhaven.orders.endpoint_order import EndpointReport, Phase


@attrs.frozen
class WaveRules:
    """
    Limits of a version change.

    Attributes
    ----------
    max_out : float
        Largest share of the replicas of a range that may be out at once; one
        may be out in any case, as long as another serves.
    max_loads : int
        Most endpoints that load from the weight store at once.
    """

    max_out: float = 0.25
    max_loads: int = 4


def next_wave(
    reports: Iterable[EndpointReport], draining: set[EndpointId], rules: WaveRules
) -> list[EndpointId]:
    """
    Return the endpoints that should begin to drain, in order of name.

    Each range gives up at most its share, and none its last serving replica,
    whether the others are loading, draining or down.  Ranges take turns, so
    that replicas of all ranges change together and a whole pipeline of the new
    version appears early.

    Parameters
    ----------
    reports : iterable of EndpointReport
        What every endpoint of the pool reports.
    draining : set of str
        Endpoints that were chosen before and still serve.
    rules : WaveRules
        Limits.
    """
    ranges: dict[tuple[int, int], list[EndpointReport]] = defaultdict(list)
    for report in sorted(reports, key=lambda it: it.endpoint):
        ranges[report.layers.start, report.layers.stop].append(report)
    loads = len(draining) + sum(
        report.phase is Phase.LOADING for group in ranges.values() for report in group
    )
    chosen: list[EndpointId] = []
    candidates = {span: spare(group, draining, rules) for span, group in ranges.items()}
    while any(candidates.values()):
        for span in sorted(candidates):
            if candidates[span] and loads + len(chosen) < rules.max_loads:
                chosen.append(candidates[span].pop(0))
            else:
                candidates[span] = []
    return sorted(chosen)


def spare(
    group: list[EndpointReport], draining: set[EndpointId], rules: WaveRules
) -> list[EndpointId]:
    """
    Return the replicas of one range that may go out now.

    Parameters
    ----------
    group : list of EndpointReport
        All replicas of the range, in order of name.
    draining : set of str
        Endpoints that were chosen before and still serve.
    rules : WaveRules
        Limits.
    """
    staying = [
        report
        for report in group
        if report.phase is Phase.SERVING and report.endpoint not in draining
    ]
    out = len(group) - len(staying)
    allowed = max(1, int(len(group) * rules.max_out)) - out
    count = max(0, min(allowed, len(staying) - 1))
    outdated = [report.endpoint for report in staying if report.outdated]
    return outdated[:count]
