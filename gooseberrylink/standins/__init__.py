"""Fakes of outside systems, and in-process deployments that use them.

The tests, the demo, the benchmark, the soak runs and lab/ use this package.
"""
