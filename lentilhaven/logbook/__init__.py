"""
What collected logs tell of one request.

`read_lines` takes the JSON lines of any number of gateways, `tell_story` picks
those that bear on a request: its own, and what its gateway and others came to
believe about the endpoints that it used.  Lines of one gateway keep their order;
lines of others are placed by their clocks, which may differ by seconds, and are
marked so.
"""

from lentilhaven.logbook.log_line import LogLine, read_lines
from lentilhaven.logbook.request_story import RequestStory, tell_story

__all__ = ["LogLine", "RequestStory", "read_lines", "tell_story"]
