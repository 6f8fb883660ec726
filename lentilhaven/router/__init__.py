"""
Data path of a VM.

The router accepts requests, chooses a pipeline for each of them, validates every
piece (token) of the answer before forwarding it, and replaces stages that fail
while an answer is generated.  All decisions use the latest view of endpoints, load
and tables that the router has received from the agent on its VM.
"""

from lentilhaven.router.router import Router, open_router
from lentilhaven.router.router_settings import RouterSettings

__all__ = ["Router", "RouterSettings", "open_router"]
