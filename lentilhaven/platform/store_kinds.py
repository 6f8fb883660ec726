"""Kinds and names of objects in the platform's store."""

#: The operator's objects, and the name of the manifest among them.
CONFIG, MANIFEST = "config", "main"

#: Entries by which replicas announce themselves.
REPLICAS = "servers"

#: Leases of the system's own.
LEASES = "lentilhaven-leases"

#: Entries of the system's own VMs.
GATEWAYS = "lentilhaven-gateways"
