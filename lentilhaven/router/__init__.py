"""
Data path of a VM.

The router accepts requests, chooses a pipeline for each of them, validates every
piece of the answer before forwarding it, and replaces stages that fail while an
answer is generated.  All decisions use the latest view received from the agent.
"""

from lentilhaven.router.router import Router, open_router
from lentilhaven.router.router_settings import RouterSettings

__all__ = ["Router", "RouterSettings", "open_router"]
