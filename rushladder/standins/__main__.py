"""Runs the stand-in that a JSON file describes, until it is stopped: `python -m rushladder.standins FILE`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from twisted.internet import reactor as _reactor

from rushladder.standins import collector, http_gateway, load_generator, resolvers
from rushladder.standins.record import EventRecord

reactor: Any = _reactor


def main() -> None:
    """Reads the file named on the command line and runs its stand-in in the reactor."""
    config = json.loads(Path(sys.argv[1]).read_text())
    record = EventRecord(config["record"], config["who"])
    if config["kind"] == "collectors":
        collector.serve(
            [collector.CollectorConfig(**fields) for fields in config["builds"]],
            reactor,
            record,
            config["control"],
        )
    elif config["kind"] == "gateway":
        http_gateway.serve(
            config["who"],
            config["port"],
            config["sockets"],
            config["control"],
            config["products"],
            config["standing"],
            reactor,
            record,
        )
    elif config["kind"] == "resolvers":
        resolvers.serve(config, reactor, record)
    else:
        load_generator.serve(
            load_generator.LoadGenerator(
                [load_generator.RequestProfile(**fields) for fields in config["asks"]],
                config["gateways"],
                config["rate"],
                config["seed"],
                reactor,
                record,
            ),
            reactor,
            config["control"],
        )
    reactor.run()


if __name__ == "__main__":
    main()
