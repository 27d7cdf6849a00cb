"""Hosts the decision module: passes events in and derives the desired state of gateways. Does no I/O."""
