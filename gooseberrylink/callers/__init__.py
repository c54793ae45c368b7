"""Serves callers over HTTP."""
