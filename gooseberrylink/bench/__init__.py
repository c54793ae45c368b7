"""Replays traces of jobs and measures how well the jobs are served."""
