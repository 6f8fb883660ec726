"""Load of one endpoint as known to one agent, and its wire format."""

import attrs

from lentilhaven.core.ids import EndpointId, ModelVersion
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.tables.layer_range import LayerRange

#: Number of consecutive missed polls after which an endpoint is suspected.
MISSES_TO_SUSPECT = 2


@attrs.frozen
class EndpointLoad:
    """
    The last report of an endpoint and the polls it has missed since.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint.
    report : LoadReport or None
        Last report; None if the endpoint has sent none.
    age : float
        Age of the report, in seconds.
    silence : float
        Time since the last response of any kind, in seconds.
    misses : int
        Number of consecutive missed polls.
    """

    endpoint: EndpointId
    report: LoadReport | None
    age: float
    silence: float
    misses: int = 0

    @property
    def suspect(self) -> bool:
        """Return whether the endpoint has missed `MISSES_TO_SUSPECT` polls or more."""
        return self.misses >= MISSES_TO_SUSPECT

    def aged(self, seconds: float) -> "EndpointLoad":
        """Return a copy whose age and silence are longer by a number of seconds."""
        return attrs.evolve(
            self, age=self.age + seconds, silence=self.silence + seconds
        )


def encode_load(load: EndpointLoad) -> list:
    """
    Return the compact list form in which agents exchange loads.

    Parameters
    ----------
    load : EndpointLoad
        Load to encode.

    Examples
    --------
    >>> encode_load(EndpointLoad("e", None, 0.0, 0.5, 3))
    ['e', 3, 0.5]
    >>> decode_load(encode_load(EndpointLoad("e", None, 0.0, 0.5, 3))).suspect
    True
    """
    head: list = [load.endpoint, load.misses, round(load.silence, 3)]
    report = load.report
    if report is None:
        return head
    layers = [report.layers.start, report.layers.stop] if report.layers else []
    body = [round(load.age, 3), report.running, report.waiting]
    body += [round(report.kv_used), round(report.kv_capacity)]
    return [*head, *body, int(report.leaving), report.version, *layers]


def decode_load(wire: list) -> EndpointLoad:
    """
    Return the load that `encode_load` encoded.

    Parameters
    ----------
    wire : list
        Compact list form.

    Raises
    ------
    ValueError, TypeError, IndexError
        If `wire` is not a valid encoded load.
    """
    endpoint, misses, silence, *body = wire
    if not body:
        return EndpointLoad(EndpointId(endpoint), None, silence, silence, misses)
    age, running, waiting, kv_used, kv_capacity, leaving, version, *layers = body
    report = LoadReport(
        EndpointId(endpoint),
        running,
        waiting,
        kv_used,
        kv_capacity,
        ModelVersion(version),
        LayerRange(*layers) if layers else None,
        bool(leaving),
    )
    return EndpointLoad(EndpointId(endpoint), report, age, silence, misses)
