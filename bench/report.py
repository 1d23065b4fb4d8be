"""Draws plots of a run over time and writes a Markdown page with them."""

from __future__ import annotations

import collections
from collections.abc import Mapping
import itertools
import json
import pathlib
from typing import Any

import matplotlib

matplotlib.use("agg")

from matplotlib import pyplot

_BUCKET_MS = 1_000
_NINETY_NINTH = 0.99
_MEDIAN = 0.5
_SIZE_INCHES = (9, 4)

Rows = list[dict[str, Any]]


def write(directory: pathlib.Path) -> pathlib.Path:
    """Draws all plots of a run and writes its page.

    Args:
        directory: Directory of the run.

    Returns:
        The path of the Markdown page.
    """
    samples = _read(directory / "samples.jsonl")
    submissions = _read(directory / "submissions.jsonl")
    records = _read(directory / "records.jsonl")
    summary = json.loads((directory / "verdict.json").read_text())
    began_ms = samples[0]["at_ms"] if samples else 0
    _draw_waiting(directory / "waiting.png", submissions, records, began_ms)
    _draw_shares(directory / "shares.png", samples, began_ms)
    _draw_link(directory / "link.png", samples, began_ms)
    page = directory / "report.md"
    page.write_text(_page(summary), encoding="utf-8")
    return page


def _read(path: pathlib.Path) -> Rows:
    """Returns the rows of a file of JSON lines."""
    with path.open(encoding="utf-8") as file:
        return [json.loads(line) for line in file]


def _draw_waiting(
    path: pathlib.Path, submissions: Rows, records: Rows, began_ms: float
) -> None:
    """Draws the median and p99 waiting time of requests for each second."""
    sent = {row["token"]: row["sent_ms"] for row in reversed(submissions)}
    buckets: dict[int, list[float]] = collections.defaultdict(list)
    seen = set()
    for record in records:
        token = record.get("token", "")
        is_first = record["event"] == "start" and token not in seen
        if not is_first or record["mode"] != "request" or token not in sent:
            continue
        seen.add(token)
        bucket = int((sent[token] - began_ms) // _BUCKET_MS)
        buckets[bucket].append(record["at_ms"] - sent[token])
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    seconds = sorted(buckets)
    for label, fraction in (("median", _MEDIAN), ("p99", _NINETY_NINTH)):
        values = [_quantile(buckets[second], fraction) for second in seconds]
        axes.plot(seconds, values, label=label)
    axes.set_yscale("log")
    _finish(figure, axes, path, "waiting time of requests (ms)")


def _draw_shares(path: pathlib.Path, samples: Rows, began_ms: float) -> None:
    """Draws the number of running tasks of each team."""
    teams = sorted({team for each in samples for team in each["running"]})
    seconds = _seconds(samples, began_ms)
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    series = [
        [each["running"].get(team, 0) for each in samples] for team in teams
    ]
    if teams:
        axes.stackplot(seconds, series, labels=teams)
    _finish(figure, axes, path, "running tasks by team")


def _draw_link(path: pathlib.Path, samples: Rows, began_ms: float) -> None:
    """Draws the throughput of each direction of the link between regions."""
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    directions = sorted(samples[0]["link_bytes"]) if samples else []
    for direction in directions:
        seconds, rates = [], []
        for before, after in itertools.pairwise(samples):
            passed_s = (after["at_ms"] - before["at_ms"]) / _BUCKET_MS
            sent = _bytes(after, direction) - _bytes(before, direction)
            seconds.append((after["at_ms"] - began_ms) / _BUCKET_MS)
            rates.append(sent / passed_s if passed_s else 0)
        axes.plot(seconds, rates, label=direction)
    _finish(figure, axes, path, "link between regions (bytes/s)")


def _finish(figure: Any, axes: Any, path: pathlib.Path, title: str) -> None:
    """Labels a plot and writes it to a file."""
    axes.set_xlabel("seconds")
    axes.set_title(title)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="center left", bbox_to_anchor=(1, 0.5))
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _seconds(samples: Rows, began_ms: float) -> list[float]:
    """Returns the time of each sample in seconds since the begin of the run."""
    return [(each["at_ms"] - began_ms) / _BUCKET_MS for each in samples]


def _bytes(sample: Mapping[str, Any], direction: str) -> int:
    """Returns the cumulative bytes sent in a direction at a sample."""
    return int(sample["link_bytes"].get(direction, 0))


def _quantile(values: list[float], fraction: float) -> float:
    """Returns a quantile of unsorted values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def _page(summary: Mapping[str, Any]) -> str:
    """Returns the Markdown text of the page of a run."""
    lines = [
        f"# {summary['name']} of {summary['layout']}, seed {summary['seed']}",
        "",
        f"Work was sent for {summary['duration_s']:g} s; faults:"
        f" {', '.join(summary['faults']) or 'none'}.",
        "",
        "| field | value |",
        "|---|---|",
    ]
    lines += [
        f"| {name} | {value} |" for name, value in summary["fields"].items()
    ]
    lines.append("")
    for field, found in summary["violations"].items():
        lines += [f"## Violations: {field}", ""]
        lines += [f"- {each}" for each in found]
        lines.append("")
    for name in ("waiting", "shares", "link"):
        lines += [f"![{name}]({name}.png)", ""]
    return "\n".join(lines)
