"""Communicates with backend servers: announcements, and runs of tasks."""
