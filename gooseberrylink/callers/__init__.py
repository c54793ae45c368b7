"""Serves the HTTP interface for callers."""
