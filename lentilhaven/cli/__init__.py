"""
The operators' client.

Operators read, check and apply the tables with it, and ask what the VMs do.
"""
