"""Builds the spans in which tasks ran from the records of workers."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from bench import observations

_ATTEMPT_SEPARATOR = "~"


class Span(NamedTuple):
    """One run of a task on a worker, from its start to its end.

    Attributes:
        end_ms: None if the task was still running at the last record.
        state: Final state; empty while `end_ms` is None.
    """

    worker: str
    task_id: str
    token: str
    team: str
    mode: str
    job_id: str
    resources: dict[str, int]
    start_ms: float
    end_ms: float | None = None
    state: str = ""

    @property
    def work_id(self) -> str:
        """Name of the request or job task that this span is an attempt of."""
        return work_id_of(self.job_id, self.token, self.task_id)


class Step(NamedTuple):
    """A start or an end of a span.

    At the same time, ends sort before starts.
    """

    at_ms: float
    is_start: bool
    span: Span


def work_id_of(job_id: str, token: str, task_id: str) -> str:
    """Returns the name that all attempts of a request or job task share.

    The id of an attempt of a job task is `job~index~random`; the random part
    differs for each attempt. Checks that use this name also count the tasks of
    a job, so that they still find violations if ids have another format.
    """
    if not job_id:
        return token
    return _ATTEMPT_SEPARATOR.join(task_id.split(_ATTEMPT_SEPARATOR)[:2])


def read(records: Iterable[observations.Record]) -> list[Span]:
    """Returns the spans of records, in order of their starts."""
    spans: list[Span] = []
    running: dict[tuple[str, str], int] = {}
    for record in records:
        if record["event"] == "start":
            running[(record["worker"], record["task_id"])] = len(spans)
            spans.append(_open_span(record))
        elif record["event"] == "end":
            key = (record["worker"], record["task_id"])
            index = running.pop(key, None)
            if index is None:
                continue
            spans[index] = spans[index]._replace(
                end_ms=record["at_ms"], state=record["state"]
            )
    return spans


def steps(spans: Iterable[Span]) -> Iterator[Step]:
    """Returns the starts and ends of spans in order of time."""
    found = []
    for span in spans:
        found.append(Step(span.start_ms, True, span))
        if span.end_ms is not None:
            found.append(Step(span.end_ms, False, span))
    return iter(sorted(found, key=lambda step: (step.at_ms, step.is_start)))


def _open_span(record: observations.Record) -> Span:
    """Returns the open span of a start record."""
    fields: dict[str, Any] = {
        name: record[name]
        for name in (
            "worker",
            "task_id",
            "token",
            "team",
            "mode",
            "job_id",
            "resources",
        )
    }
    return Span(**fields, start_ms=record["at_ms"])
