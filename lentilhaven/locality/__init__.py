"""
Where work goes among data centres.

Bytes between data centres are expensive, and links between them are slow.  A request
stays in the data centre of its gateway while it is served in time there.
"""

from lentilhaven.locality.local_preference import stays_local

__all__ = ["stays_local"]
