"""Specialized data structures, each compared with the straightforward one in `benchmarks/`. No I/O."""
