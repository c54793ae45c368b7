"""Fakes of outside systems for tests, the demo and the benchmark."""
