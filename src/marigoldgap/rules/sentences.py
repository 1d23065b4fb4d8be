"""Describes rules changes in sentences."""

from __future__ import annotations

from collections.abc import Iterator

from marigoldgap.rules import model


def rule_sentences(before: model.Rules, after: model.Rules) -> list[str]:
    """Returns one sentence for each changed part of the rules."""
    return [
        *_team_sentences(before, after),
        *_queue_sentences(before, after),
        *_other_sentences(before, after),
    ]


def _team_sentences(before: model.Rules, after: model.Rules) -> Iterator[str]:
    for name in sorted({*before.teams, *after.teams}):
        old = before.teams.get(name)
        new = after.teams.get(name)
        if old is None and new is not None:
            yield (
                f"Team {name} is new, with share {new.share:g} and a limit of "
                f"{new.limit} running tasks. It needs a key to submit work to "
                f"keyed queues."
            )
        elif new is None:
            yield f"Team {name} is removed; its keys no longer allow work."
        elif old is not None:
            yield from _changed_team(old, new)


def _changed_team(old: model.TeamRule, new: model.TeamRule) -> Iterator[str]:
    if new.limit < old.limit:
        yield (
            f"Team {new.name} may run at most {new.limit} tasks at once "
            f"instead of {old.limit}."
        )
    if new.limit > old.limit:
        yield (
            f"Team {new.name} may run up to {new.limit} tasks at once instead "
            f"of {old.limit}."
        )
    if new.share != old.share:
        word = "larger" if new.share > old.share else "smaller"
        yield (
            f"Team {new.name} gets a {word} share: {new.share:g} instead of "
            f"{old.share:g}."
        )
    if new.workspace != old.workspace:
        yield (
            f"Team {new.name} belongs to workspace {new.workspace or '(none)'} "
            f"instead of {old.workspace or '(none)'}."
        )


def _queue_sentences(before: model.Rules, after: model.Rules) -> Iterator[str]:
    for name in sorted({*before.queues, *after.queues}):
        old = before.queues.get(name)
        new = after.queues.get(name)
        if old is None and new is not None:
            yield f"Queue {name} is new: {_access(new)}."
        elif new is None:
            yield f"Queue {name} is removed; it refuses all new work."
        elif old is not None:
            yield from _changed_queue(old, new)


def _changed_queue(old: model.QueueRule, new: model.QueueRule) -> Iterator[str]:
    if (old.keyed, old.team) != (new.keyed, new.team):
        yield f"Queue {new.name} changes who may submit: {_access(new)}."
    if old.kind != new.kind:
        yield f"Queue {new.name} is of kind {new.kind} instead of {old.kind}."
    if old.service != new.service:
        yield (
            f"Work of queue {new.name} runs on service {new.service} instead "
            f"of {old.service}."
        )
    if old.deadline_s != new.deadline_s:
        yield (
            f"Work of queue {new.name} must start within "
            f"{_deadline(new.deadline_s)} instead of "
            f"{_deadline(old.deadline_s)}."
        )
    if old.priority != new.priority:
        word = "sooner" if new.priority > old.priority else "later"
        yield (
            f"Work of queue {new.name} starts {word} among equally served "
            f"teams: priority {new.priority} instead of {old.priority}."
        )


def _other_sentences(before: model.Rules, after: model.Rules) -> Iterator[str]:
    if before.retry != after.retry:
        yield (
            f"A task is tried up to {after.retry.attempts} times, and at most "
            f"{after.retry.budget_percent}% of a team's tasks are retries."
        )
    if before.quarantine != after.quarantine:
        yield (
            f"A worker is quarantined after {after.quarantine.after} failed "
            f"jobs and probed every {after.quarantine.probe_s} s."
        )
    if before.prefer_zones != after.prefer_zones:
        zones = ", ".join(after.prefer_zones) or "no zone in particular"
        yield f"Work prefers {zones}."


def _access(queue: model.QueueRule) -> str:
    if queue.keyed:
        return "a key is needed, and work runs for the team of the key"
    return f"no key is needed, and work runs for team {queue.team}"


def _deadline(seconds: int | None) -> str:
    return "the general deadline" if seconds is None else f"{seconds} s"
