"""Dispatches jobs of sub-second tasks to backend servers."""

__version__ = "0.1.0"
