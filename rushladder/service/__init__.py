"""Builds a manager from its configuration, connects it to its sockets and runs it."""
