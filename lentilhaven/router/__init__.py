"""
The data path of a VM.

The router accepts callers, chooses a pipeline for each request, checks every
piece of the answer and forwards it, and replaces stages that fail on the way.
It decides on the last view that its agent has sent.
"""

from lentilhaven.router.router import Router, open_router
from lentilhaven.router.router_settings import RouterSettings

__all__ = ["Router", "RouterSettings", "open_router"]
