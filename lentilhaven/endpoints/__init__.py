"""Placeholder docstring of endpoints."""
