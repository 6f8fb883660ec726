"""
Randomised soak test of real gateways under externally injected faults.

Each gateway is a separate process on a loopback address.  The store and the
replicas are stand-ins behind proxies that delay, reset, cut or silence connections;
signals pause, terminate and kill the processes.  Callers keep their connections open
until their gateway is gone.  The observations of the callers and the replicas are
checked against the gateway's guarantees during the soak and again at its end.
"""

from lentilhaven.bench.soak.soak import run_soak

__all__ = ["run_soak"]
