"""
The control process of a VM.

The agent follows the tables, watches the VMs and endpoints, and keeps the
journal of non-idempotent calls.  It serves its view to the router of its VM.
"""

from lentilhaven.agent.agent import Agent, open_agent
from lentilhaven.agent.agent_settings import AgentSettings

__all__ = ["Agent", "AgentSettings", "open_agent"]
