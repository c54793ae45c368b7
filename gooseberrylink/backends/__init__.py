"""Talks to backend servers: their announcements, and the tasks they run."""
