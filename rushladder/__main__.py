"""Runs the command line as `python -m rushladder`."""

from rushladder.cli.main import main

main()
