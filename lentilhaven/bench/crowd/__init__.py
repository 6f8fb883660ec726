"""
Clients that misbehave on purpose against one process, and what the process then uses.

The scenario ``clients`` runs each kind of misbehaviour against a gateway or router that
has lowered limits, and checks that the process lives, that its memory and descriptors
stay under its limits, and that an ordinary request is answered afterwards.
"""

from lentilhaven.bench.crowd.crowd_run import CrowdOutcome, run_crowd

__all__ = ["CrowdOutcome", "run_crowd"]
