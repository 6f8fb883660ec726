"""Kinds and names of objects in the platform's store."""

#: Kind of the operator's configuration objects, and name of the manifest.
CONFIG, MANIFEST = "config", "main"

#: Kind of the entries with which replicas register themselves.
REPLICAS = "servers"

#: Kind of the gateways' leases.
LEASES = "lentilhaven-leases"

#: Kind of the entries of the VMs that run gateways.
GATEWAYS = "lentilhaven-gateways"
