"""`python -m rushladder` is the command line."""

from rushladder.cli.main import main

main()
