"""
Where work goes among data centres.

Bytes between data centres are expensive, and links between them are slow.  A request
stays in the data centre of its gateway while it is served in time there.
"""

from lentilhaven.locality.local_preference import stays_local
from lentilhaven.locality.near_chain import find_near_chain

__all__ = ["find_near_chain", "stays_local"]
