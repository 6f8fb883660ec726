"""
Analysis of one request from collected gateway logs.

`read_lines` parses the JSON lines of any number of gateways.  `diagnose_request`
selects the lines that name a request, in the order of the input, and other events
around that time: changes of the state of its endpoints, and changes of the store and
the gateways that its gateway depends on.  The other events are ordered by timestamp and
labelled with the VM that wrote them; the clocks of two VMs may differ by seconds.
"""

from lentilhaven.logbook.log_line import LogLine, read_lines
from lentilhaven.logbook.request_story import RequestDiagnosis, diagnose_request

__all__ = ["LogLine", "RequestDiagnosis", "read_lines", "diagnose_request"]
