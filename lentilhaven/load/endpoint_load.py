"""What one agent knows of the load of one endpoint."""

import attrs

from lentilhaven.core.ids import EndpointId, ModelVersion
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.tables.layer_range import LayerRange

#: Polls in a row that an endpoint must miss to be suspected.
MISSES_TO_SUSPECT = 2


@attrs.frozen
class EndpointLoad:
    """
    The last report of an endpoint, and the polls that it missed since.

    Attributes
    ----------
    endpoint : str
        The endpoint.
    report : LoadReport or None
        Its last report, if it has made one.
    age : float
        Seconds since the report was made.
    heard : float
        Seconds since the endpoint last answered at all.
    misses : int
        Polls missed in a row.
    """

    endpoint: EndpointId
    report: LoadReport | None
    age: float
    heard: float
    misses: int = 0

    @property
    def suspect(self) -> bool:
        """Return whether it has missed too many polls."""
        return self.misses >= MISSES_TO_SUSPECT

    def aged(self, seconds: float) -> "EndpointLoad":
        """Return the same knowledge, some seconds later."""
        return attrs.evolve(self, age=self.age + seconds, heard=self.heard + seconds)


def encode_load(load: EndpointLoad) -> list:
    """
    Return the short form in which agents exchange loads.

    Parameters
    ----------
    load : EndpointLoad
        What to encode.

    Examples
    --------
    >>> encode_load(EndpointLoad("e", None, 0.0, 0.5, 3))
    ['e', 3, 0.5]
    >>> decode_load(encode_load(EndpointLoad("e", None, 0.0, 0.5, 3))).suspect
    True
    """
    head: list = [load.endpoint, load.misses, round(load.heard, 3)]
    report = load.report
    if report is None:
        return head
    layers = [report.layers.start, report.layers.stop] if report.layers else []
    body = [round(load.age, 3), report.running, report.waiting]
    body += [round(report.kv_used), round(report.kv_capacity)]
    return [*head, *body, int(report.leaving), report.version, *layers]


def decode_load(wire: list) -> EndpointLoad:
    """
    Return what `encode_load` encoded.

    Parameters
    ----------
    wire : list
        The short form.

    Raises
    ------
    ValueError, TypeError, IndexError
        If it is not one.
    """
    endpoint, misses, heard, *body = wire
    if not body:
        return EndpointLoad(EndpointId(endpoint), None, heard, heard, misses)
    age, running, waiting, used, capacity, leaving, version, *layers = body
    report = LoadReport(
        EndpointId(endpoint),
        running,
        waiting,
        used,
        capacity,
        ModelVersion(version),
        LayerRange(*layers) if layers else None,
        bool(leaving),
    )
    return EndpointLoad(EndpointId(endpoint), report, age, heard, misses)
