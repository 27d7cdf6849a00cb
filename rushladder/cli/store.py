"""`rushladder store`: what a manager's memory holds, whether it is whole, and writing it anew in one
piece."""

from __future__ import annotations

import sys
import time
from collections import Counter

import click

from rushladder.store.files import Disk, FolderLocked
from rushladder.store.log import Log, IncompatibleStore, FileState, read_header, file_number, read_file
from rushladder.store.memory import MINORS, Kind

DIRECTORY = click.argument("directory", type=click.Path(exists=True, file_okay=False))


def _failed(command: str, directory: str, trouble: Exception) -> None:
    click.echo(f"rushladder store {command}: {directory}: {trouble}", err=True)
    sys.exit(2)


@click.group()
def store() -> None:
    """Looks after the folder that a manager's `memory` names."""


@store.command()
@DIRECTORY
def inspect(directory: str) -> None:
    """Lists the files of DIRECTORY, whose they are, and how many records of each kind hold. Changes
    nothing."""
    try:
        disk = Disk(directory, lock=False)
        state, rows, whose = Counter[int](), list[str](), set[str]()
        newest = dict[tuple[int, str], bool]()
        for name in sorted(disk.names(), key=lambda name: (file_number(name) or 0, name.startswith("log-"))):
            data = disk.read(name)
            if file_number(name) is None:
                rows.append(f"{name}: {len(data)} bytes, not read at start")
                continue
            found = read_file(name, data)
            header = read_header(data)
            if header is not None:
                version = f"{header.major}.{header.minor}"
                whose.add(f"fleet {header.fleet}, manager {header.manager}, version {version}")
            begun = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(found.created / 1000))
            many = f"{len(found.records)} records, {len(data)} bytes"
            rows.append(f"{name}: {found.state.value}, {many}, {begun} UTC")
            for record in found.records:
                newest[record.kind, record.key] = record.payload is not None
        state.update(kind for (kind, _), there in newest.items() if there)
    except OSError as trouble:
        return _failed("inspect", directory, trouble)
    for line in (*sorted(whose), *rows):
        click.echo(line)
    kinds = {int(kind): kind.name.lower() for kind in Kind}
    for kind, keys in sorted(state.items()):
        click.echo(f"{kinds.get(kind, f'kind {kind}, of a later version')}: {keys}")


@store.command()
@DIRECTORY
def verify(directory: str) -> None:
    """Reads every record of DIRECTORY. Leaves with 1 if something is damaged; a torn end is no damage."""
    bad = 0
    try:
        disk = Disk(directory, lock=False)
        for name in disk.names():
            if file_number(name) is None:
                continue
            found = read_file(name, disk.read(name))
            if found.state not in (FileState.WHOLE, FileState.TORN):
                bad += 1
                click.echo(f"{name}: {found.state.value}: {found.why}")
    except OSError as trouble:
        return _failed("verify", directory, trouble)
    click.echo("damaged" if bad else "whole")
    sys.exit(1 if bad else 0)


@store.command()
@DIRECTORY
def compact(directory: str) -> None:
    """Writes the whole state of DIRECTORY as one snapshot. Not while a manager runs on it."""
    try:
        disk = Disk(directory)
        headers = [header for name in disk.names() if (header := read_header(disk.read(name))) is not None]
        if not headers:
            raise IncompatibleStore("no file of a store is here")
        log = Log(disk, headers[-1].fleet, headers[-1].manager, MINORS, wall=lambda: int(1000 * time.time()))
        log.open()
        log.snapshot()
        before, after = len(headers), len([name for name in disk.names() if file_number(name) is not None])
    except (OSError, FolderLocked, IncompatibleStore) as trouble:
        return _failed("compact", directory, trouble)
    click.echo(f"{len(log.state)} records; {before} files before, {after} now")
