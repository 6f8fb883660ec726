"""Placeholder docstring of router."""
