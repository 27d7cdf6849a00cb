"""Charts of a day: service, levels, weights and messages over time, as PNG files."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from rushladder.trials.day import Day
from rushladder.trials.judge import Verdict


def draw(day: Day, verdict: Verdict, folder: Path, unmanaged: Verdict | None = None) -> list[Path]:
    """Writes the charts to the folder and returns their paths; `unmanaged`: the same day without managers."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = list[Path]()
    for title, prefix, ylabel in (
        ("service", "service", "revenue settled in time / asked for"),
        ("levels", "level ", "let in"),
        ("weights", "weight ", "weight (0 to 256)"),
        ("lines", "waiting ", "lines owed and unanswered"),
    ):
        figure, axes = pyplot.subplots(figsize=(9, 4))
        plotted = False
        for name, points in verdict.series.items():
            if name.startswith(prefix) and points:
                _plot_line(
                    axes, points, name.removeprefix(prefix) or "managed", day.length, title != "service"
                )
                plotted = True
        if title == "service" and unmanaged is not None:
            _plot_line(axes, unmanaged.series["service"], "standing tables", day.length, False)
        for event in day.events:
            axes.axvline(event.at, color="0.8", linewidth=0.8, zorder=0)
        axes.set(
            xlabel="second of the day", ylabel=ylabel, title=f"{day.name}: {title}", xlim=(0, day.length)
        )
        if plotted:
            axes.legend(fontsize="x-small", loc="center left", bbox_to_anchor=(1.0, 0.5))
        paths.append(folder / f"{day.name}-{title}.png")
        figure.savefig(paths[-1], dpi=110, bbox_inches="tight")
        pyplot.close(figure)
    return paths


def _plot_line(axes: Any, points: list[tuple[float, float]], label: str, length: float, steps: bool) -> None:
    xs, ys = [at for at, _ in points], [value for _, value in points]
    axes.plot(
        [*xs, length] if steps else xs,
        [*ys, ys[-1]] if steps else ys,
        label=label,
        drawstyle="steps-post" if steps else "default",
        linewidth=1.0,
    )
