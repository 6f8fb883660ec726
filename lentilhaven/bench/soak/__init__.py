"""
A randomised soak of real gateways under faults from outside.

Each gateway is a process of its own on loopback.  The store and the replicas are
the stand-ins of this package, behind proxies that delay, reset, cut and silence
connections; signals pause, end and restart the processes.  Callers keep their
connections open until a process is gone.  What the callers and the replicas see
is checked against the promises while the soak runs, and once more at its end.
"""

from lentilhaven.bench.soak.soak import run_soak

__all__ = ["run_soak"]
