"""
Where work goes among data centres.

Bytes between data centres are expensive, and links between them are slow.  A request
stays in the data centre of its gateway while it is served in time there.
"""

from lentilhaven.locality.chain_preference import find_frugal_chain
from lentilhaven.locality.demand_forecast import DemandForecast
from lentilhaven.locality.near_chain import find_near_chain
from lentilhaven.locality.stream_needs import StreamNeeds

__all__ = ["DemandForecast", "StreamNeeds", "find_frugal_chain", "find_near_chain"]
