"""
The control process of a VM.

The agent keeps the routing tables up to date, monitors VMs and endpoints, and
maintains the journal of non-idempotent calls.  It serves a view of the tables and
of the state of VMs and endpoints to the router on the same VM.
"""

from lentilhaven.agent.agent import Agent, open_agent
from lentilhaven.agent.agent_settings import AgentSettings

__all__ = ["Agent", "AgentSettings", "open_agent"]
