"""The command line, `rushladder`."""
