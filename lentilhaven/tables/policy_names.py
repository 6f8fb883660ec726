"""
Names of the policies that a route may choose.

The policies themselves stand in subjects that depend on the tables; a test
holds their registries against these names.
"""

#: How a pipeline may be chosen.
PATH_POLICY_NAMES = ("flow", "affinity", "round-robin", "least-loaded", "random-of-two")

#: How requests may be admitted and ordered.
ADMISSION_POLICY_NAMES = ("deadline", "first-come")
