"""Drives plain gateways: election of the holder, update commands, weight rounding and traffic metering.

Only the driver uses a connection, which is handed in; the other modules do no I/O.
"""
