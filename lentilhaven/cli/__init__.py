"""
Command-line client for operators.

Reads, validates and applies the tables, and queries the state of the VMs.
"""
