"""Reads batches from standard input and answers each on standard output until the input ends."""

import sys

from rushladder.benchlink.hosting import Hosting
from rushladder.benchlink.wire import WireError


def main() -> int:
    try:
        Hosting(sys.stdin.buffer, sys.stdout.buffer).run()
    except WireError as trouble:
        print(f"rushladder.benchlink: {trouble}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
