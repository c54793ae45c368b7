"""Serves operators: declarations, apply, check and status."""
