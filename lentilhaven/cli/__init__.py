"""Placeholder docstring of cli."""
