"""Translates between the platform's protocols and the project's own types."""
