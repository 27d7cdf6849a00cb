"""`python -m rushladder.standins FILE` runs the one stand-in that a JSON file describes, until it is told
to stop."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from twisted.internet import reactor as _reactor

from rushladder.standins import collector, http_gateway, load_generator, resolvers
from rushladder.standins.event_record import EventRecord

reactor: Any = _reactor


def main() -> None:
    what = json.loads(Path(sys.argv[1]).read_text())
    record = EventRecord(what["record"], what["who"])
    if what["kind"] == "collectors":
        collector.serve(
            [collector.CollectorConfig(**build) for build in what["builds"]], reactor, record, what["control"]
        )
    elif what["kind"] == "gateway":
        http_gateway.serve(
            what["who"],
            what["port"],
            what["sockets"],
            what["control"],
            what["products"],
            what["standing"],
            reactor,
            record,
        )
    elif what["kind"] == "resolvers":
        resolvers.serve(what, reactor, record)
    else:
        load_generator.serve(
            load_generator.LoadGenerator(
                [load_generator.RequestProfile(**ask) for ask in what["asks"]],
                what["gateways"],
                what["rate"],
                what["seed"],
                reactor,
                record,
            ),
            reactor,
            what["control"],
        )
    reactor.run()


if __name__ == "__main__":
    main()
