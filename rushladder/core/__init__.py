"""Hosts the decision module: clock, channel account, events in, wanted state out. Free of I/O."""
