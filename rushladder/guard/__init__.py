"""Judges every change of what gateways hold before it goes out. Free of I/O and of any clock of its own."""
