"""Placeholder docstring of bench."""
