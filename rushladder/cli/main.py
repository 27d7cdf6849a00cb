"""The sub-commands of `rushladder`. Invalid input gives a one-line error and exit status 2."""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import attrs
import click

from rushladder import __version__
from rushladder.cli.store import store
from rushladder.conf.grammar import InvalidConfig, InvalidValue, address
from rushladder.conf.objects import ManagerConfig
from rushladder.conf.reader import parse_config
from rushladder.runtime.client import send_commands
from rushladder.runtime.grammar import AnswerTooLong, Command, parse_table, split_commands


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Rushladder: a control service that publishes weights, levels and withdrawals to plain proxies."""


main.add_command(store)


def load_config(file: str) -> ManagerConfig:
    """Parses a configuration file. Prints all its errors and exits with status 2 if there are any."""
    try:
        return parse_config(Path(file).read_text(), file)
    except InvalidConfig as invalid:
        for diagnostic in invalid.errors:
            click.echo(str(diagnostic), err=True)
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8 text"
        click.echo(f"{file}:0: can't be read: {reason}", err=True)
    sys.exit(2)


@main.command()
@click.argument("file")
def run(file: str) -> None:
    """Runs the manager that FILE describes, until SIGTERM or SIGINT."""
    config = load_config(file)
    from rushladder.service.reactor import install_reactor

    install_reactor()  # before the next import, which would install the default one
    from rushladder.service.run import run as serve

    sys.exit(serve(config))


@main.command()
def node() -> None:
    """Runs a manager on the operators' platform until SIGTERM. RELAY_CONFIG names its configuration."""
    from rushladder.service.node import main as serve

    sys.exit(serve())


@main.command()
@click.argument("files", nargs=-1, required=True)
def check(files: tuple[str, ...]) -> None:
    """Checks configuration files. Prints every error with file:line and exits with 2 if there is any."""
    for file in files:
        config = load_config(file)
        click.echo(
            f"{file}: manager {config.identity.name}, {len(config.gateways)} gateways, "
            f"{len(config.collectors)} collectors, {len(config.products)} products: good"
        )


@main.command()
@click.option(
    "-s",
    "--socket",
    "where",
    default="unix@rushladder.sock",
    show_default=True,
    help="unix@PATH or ADDRESS:PORT of a runtime socket.",
)
@click.option("--json", "as_json", is_flag=True, help="Prints tables as JSON.")
@click.option("--patience", default=10.0, show_default=True, help="Seconds to wait for an answer.")
@click.argument("commands", nargs=-1)
def ctl(where: str, as_json: bool, patience: float, commands: tuple[str, ...]) -> None:
    """Sends COMMANDS, or the lines of standard input, to a runtime socket and prints the answers."""
    try:
        lines = list(commands) or sys.stdin.read().splitlines()
        requests = [Command(words) for line in lines for words in split_commands(line)]
        failed = False
        for answer in send_commands(address(where), requests, patience):
            rows = parse_table(answer) or parse_table(answer, None)
            click.echo(json.dumps(rows) if as_json and rows else answer, nl=as_json and bool(rows))
            failed = failed or answer.startswith(("Unknown command", "Permission denied"))
    except (InvalidValue, ValueError, OSError, AnswerTooLong) as error:
        click.echo(f"rushladder ctl: {where}: {error}", err=True)
        sys.exit(2)
    sys.exit(1 if failed else 0)


def load_chart_drawer() -> Callable[..., list[Path]]:
    """Imports the charts module. Prints what to install and exits with 2 if a package is missing."""
    try:
        from rushladder.trials.charts import draw
    except ImportError as missing:
        click.echo(f"rushladder trial: --report needs {missing.name}: install rushladder[charts]", err=True)
        sys.exit(2)
    return draw


@main.command()
@click.argument("file")
@click.option(
    "--report", type=click.Path(file_okay=False), help="Writes charts of the day to this directory."
)
@click.option("--keep", type=click.Path(file_okay=False), help="Keeps the records in this directory.")
@click.option(
    "--memory", type=click.Choice(["none", "kept", "wrong"]), help="What managers remember over a restart."
)
@click.option("--compare", is_flag=True, help="Also runs the day on fixed tables, without managers.")
def trial(file: str, report: str | None, keep: str | None, memory: str | None, compare: bool) -> None:
    """Runs the day in FILE with real managers and stand-ins on loopback, and evaluates it. Exits with 1 if a
    rule was broken."""
    from rushladder.trials import day as days
    from rushladder.trials import judge, runner

    if report:
        draw = load_chart_drawer()  # first, so that a missing package is reported before the day runs
    try:
        day = days.read_day(Path(file).read_text(), file)
    except InvalidConfig as invalid:
        for diagnostic in invalid.errors:
            click.echo(str(diagnostic), err=True)
        sys.exit(2)
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{file}:0: can't be read: {error}", err=True)
        sys.exit(2)
    if memory is not None:
        day = attrs.evolve(day, memory=memory)
    verdicts = []
    for managed in (True, False) if compare else (True,):
        with tempfile.TemporaryDirectory(prefix="rl") as directory:
            folder = Path(directory)
            runner.TrialRunner(day, folder, managed).run()
            rows = judge.load_records(folder)
            verdicts.append(judge.judge(day, rows))
            if keep and managed:
                shutil.copytree(
                    folder, keep, dirs_exist_ok=True, ignore=shutil.ignore_patterns("*.sock", "*.ctl")
                )
    click.echo(
        f"day {day.name}, {day.length:g} s: {len(day.managers)} managers, {len(day.gateways)} gateways, "
        f"{len(day.collectors)} collectors, {day.load:g} txns/s"
    )
    click.echo(verdicts[0].text())
    for line in verdicts[0].weight_history():
        click.echo(line)
    if compare:
        click.echo(f"on standing tables: service {verdicts[1].service:.3f}")
    if report:
        for path in draw(day, verdicts[0], Path(report), verdicts[1] if compare else None):
            click.echo(str(path))
    sys.exit(1 if verdicts[0].violations else 0)


@main.command()
@click.option("--seeds", default=1, show_default=True, help="Number of seeds to run, one after the other.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--seconds", default=12.0, show_default=True, help="Length of a run, before its final check.")
@click.option(
    "--crowd/--no-crowd",
    default=None,
    help="Whether runs have a reconnect storm; by default every third has.",
)
def soak(seeds: int, first: int, seconds: float, crowd: bool | None) -> None:
    """Runs the manager against the platform's stand-ins on loopback, with seeded faults and signals.

    Exits with 1 if a goal of the protocol was missed; the same seed repeats the run.
    """
    from rushladder.trials.soak import run_soak

    if seeds < 1 or seconds < 4:
        click.echo("rushladder soak: --seeds has to be 1 or more, --seconds 4 or more", err=True)
        sys.exit(2)
    failed = run_soak(first, seeds, seconds, crowd, click.echo)
    click.echo(f"{seeds} seeds, {failed} broke an aim")
    sys.exit(1 if failed else 0)


@main.command()
def version() -> None:
    """Prints the version."""
    click.echo(f"rushladder {__version__}")


if __name__ == "__main__":
    main()
