"""`rushladder store`: inspects, verifies and compacts the store of a manager."""

from __future__ import annotations

import sys
import time
from collections import Counter

import click

from rushladder.store.files import Disk, FolderLocked
from rushladder.store.log import FileState, IncompatibleStore, Log, file_number, read_file, read_header
from rushladder.store.memory import MINORS, Kind

DIRECTORY = click.argument("directory", type=click.Path(exists=True, file_okay=False))


def _fail(command: str, directory: str, error: Exception) -> None:
    click.echo(f"rushladder store {command}: {directory}: {error}", err=True)
    sys.exit(2)


@click.group()
def store() -> None:
    """Inspects and maintains the directory that a manager's `memory` directive names."""


@store.command()
@DIRECTORY
def inspect(directory: str) -> None:
    """Lists the files of DIRECTORY, the manager that they belong to, and how many records of each kind there
    are. Read-only."""
    try:
        disk = Disk(directory, lock=False)
        state, file_lines, owners = Counter[int](), list[str](), set[str]()
        newest = dict[tuple[int, str], bool]()
        for name in sorted(disk.names(), key=lambda name: (file_number(name) or 0, name.startswith("log-"))):
            data = disk.read(name)
            if file_number(name) is None:
                file_lines.append(f"{name}: {len(data)} bytes, not read at start")
                continue
            found = read_file(name, data)
            header = read_header(data)
            if header is not None:
                version = f"{header.major}.{header.minor}"
                owners.add(f"fleet {header.fleet}, manager {header.manager}, version {version}")
            created = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(found.created / 1000))
            size = f"{len(found.records)} records, {len(data)} bytes"
            file_lines.append(f"{name}: {found.state.value}, {size}, {created} UTC")
            for record in found.records:
                newest[record.kind, record.key] = record.payload is not None
        state.update(kind for (kind, _), present in newest.items() if present)
    except OSError as error:
        return _fail("inspect", directory, error)
    for line in (*sorted(owners), *file_lines):
        click.echo(line)
    kinds = {int(kind): kind.name.lower() for kind in Kind}
    for kind, keys in sorted(state.items()):
        click.echo(f"{kinds.get(kind, f'kind {kind}, of a later version')}: {keys}")


@store.command()
@DIRECTORY
def verify(directory: str) -> None:
    """Reads every record of DIRECTORY. Exits with 1 if one is damaged; a torn end is not damage."""
    damaged = 0
    try:
        disk = Disk(directory, lock=False)
        for name in disk.names():
            if file_number(name) is None:
                continue
            found = read_file(name, disk.read(name))
            if found.state not in (FileState.WHOLE, FileState.TORN):
                damaged += 1
                click.echo(f"{name}: {found.state.value}: {found.why}")
    except OSError as error:
        return _fail("verify", directory, error)
    click.echo("damaged" if damaged else "whole")
    sys.exit(1 if damaged else 0)


@store.command()
@DIRECTORY
def compact(directory: str) -> None:
    """Writes the whole state of DIRECTORY as one snapshot. Fails while a manager runs on it."""
    try:
        disk = Disk(directory)
        headers = [header for name in disk.names() if (header := read_header(disk.read(name))) is not None]
        if not headers:
            raise IncompatibleStore("the directory holds no store files")
        log = Log(disk, headers[-1].fleet, headers[-1].manager, MINORS, wall=lambda: int(1000 * time.time()))
        log.open()
        log.snapshot()
        before, after = len(headers), len([name for name in disk.names() if file_number(name) is not None])
    except (OSError, FolderLocked, IncompatibleStore) as error:
        return _fail("compact", directory, error)
    click.echo(f"{len(log.state)} records; {before} files before, {after} now")
