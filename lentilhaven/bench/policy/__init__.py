"""
Simulates the router's policies on the service-time model, in virtual time.

`RouterModel` connects `PathChooser` and `AdmissionController` as the router does,
without I/O.  `PolicyRun` holds the routers and the engines, generates the workload
and collects a `RequestRecord` for each request.
"""

from lentilhaven.bench.policy.policy_run import PolicyRun, open_run
from lentilhaven.bench.policy.run_plan import RunPlan

__all__ = ["PolicyRun", "RunPlan", "open_run"]
