"""
Runs the product's policies against the service-time model in virtual time.

`RouterModel` wires `PathChooser` and `Gate` as the router does, without I/O.
`PolicyRun` holds routers, engines and a workload, and collects `AnswerRecord`.
"""

from lentilhaven.bench.policy.policy_run import PolicyRun, open_run
from lentilhaven.bench.policy.run_plan import RunPlan

__all__ = ["PolicyRun", "RunPlan", "open_run"]
