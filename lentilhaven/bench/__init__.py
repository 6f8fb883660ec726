"""
Measured scenarios over the stand-ins.

A scenario runs the product's own code, mostly in virtual time, and reports
figures with their targets.  The same seed gives the same figures.
"""

from lentilhaven.bench.figure import Figure
from lentilhaven.bench.report import Report

__all__ = ["Figure", "Report"]
