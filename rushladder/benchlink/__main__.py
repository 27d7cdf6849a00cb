"""Reads batches of messages from standard input and replies on standard output until the input ends."""

import sys

from rushladder.benchlink.hosting import Adapter
from rushladder.benchlink.wire import ProtocolError


def main() -> int:
    try:
        Adapter(sys.stdin.buffer, sys.stdout.buffer).run()
    except ProtocolError as error:
        print(f"rushladder.benchlink: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
