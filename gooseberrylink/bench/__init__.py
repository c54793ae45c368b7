"""Replays recorded traces and measures how well the jobs were served."""
