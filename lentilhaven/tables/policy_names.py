"""
Names of the policies that a route may use.

The policies themselves are in subpackages that depend on this one; a test
compares their registries with these names.
"""

#: Policies that choose a pipeline.
PATH_POLICY_NAMES = ("flow", "affinity", "round-robin", "least-loaded", "random-of-two")

#: Policies that admit and order requests.
ADMISSION_POLICY_NAMES = ("deadline", "first-come")
