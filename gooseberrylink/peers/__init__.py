"""Talks to the project's own processes: links, messages, and both ends."""
