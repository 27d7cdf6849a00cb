"""Builds a manager from its configuration, starts it and stops it."""
