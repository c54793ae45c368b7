"""Implements what operators use: declarations, the configuration and status."""
