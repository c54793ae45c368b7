"""Connects entries and agents: links, messages, and the peer object at each end."""
