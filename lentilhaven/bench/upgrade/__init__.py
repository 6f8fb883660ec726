"""
Upgrade and rollback of gateways under load, between an older commit and this code.

The gateways run as processes on loopback addresses, as in a soak.  They start from a
checkout of the older commit and are replaced one after the other, then replaced back.
"""

from lentilhaven.bench.upgrade.upgrade import run_upgrade

__all__ = ["run_upgrade"]
