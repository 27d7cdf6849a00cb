"""Data structures made for the job, each measured against the plain one in `benchmarks/`. Free of I/O."""
