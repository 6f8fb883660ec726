"""Placeholder docstring of agent."""
