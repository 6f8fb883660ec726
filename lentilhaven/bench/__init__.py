"""
Benchmark scenarios that run against stand-ins for the store, engines and services.

A scenario runs the production code, mostly in virtual time, and reports measured
figures with their targets.  In virtual time, the same seed gives the same figures.
"""

from lentilhaven.bench.figure import Figure
from lentilhaven.bench.report import Report

__all__ = ["Figure", "Report"]
