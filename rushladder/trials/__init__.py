"""Whole-path trials: days written down, real processes on loopback, and a judge who reads only what
crossed the sockets."""
