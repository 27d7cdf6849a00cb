"""Measurements, each beside the plain way in the same run. Run one with `python -m benchmarks.NAME`."""
