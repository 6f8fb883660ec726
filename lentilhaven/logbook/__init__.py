"""
Analysis of one request from collected gateway logs.

`read_lines` parses the JSON lines of any number of gateways.  `diagnose_request`
selects those that concern a request: its own lines, and events at its gateway and
others that changed the known state of the endpoints that it used.  Lines of one
gateway keep their order.  Lines of other gateways are ordered by their clocks, which
may differ by seconds, and are labelled with the VM that wrote them.
"""

from lentilhaven.logbook.log_line import LogLine, read_lines
from lentilhaven.logbook.request_story import RequestDiagnosis, diagnose_request

__all__ = ["LogLine", "RequestDiagnosis", "read_lines", "diagnose_request"]
