"""Replays recorded traces and reports how well the jobs were served."""
