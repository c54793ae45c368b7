"""Decides under load who waits, who runs and where."""
