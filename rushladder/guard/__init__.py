"""Checks every change of gateways' content before it is sent. Does no I/O and has no clock of its own."""
