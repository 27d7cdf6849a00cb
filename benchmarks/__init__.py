"""Benchmarks, each against a simple baseline in the same run. Run one with `python -m benchmarks.NAME`."""
