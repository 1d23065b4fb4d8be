"""Checks a configuration before an operator writes it to the store.

A check sees all entries of the configuration, also those that the decoded model
merges: workspaces of the same name, and keys that several workspaces have.

Designed for configurations of some hundred queues and workspaces with some
thousand keys; the time of every check grows linearly with the entries.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import enum
from typing import NamedTuple

from marigoldgap.cell import model
from marigoldgap.web import limits as web_limits

# Limits of a workspace below these are smaller than ordinary tasks.
_SMALLEST_MILLICORES = 1_000
_SMALLEST_MEMORY_MIB = 128
_PATH_START = "/"
_MS_PER_S = 1_000


class Severity(enum.Enum):
    """Severity of a finding.

    Attributes:
        ERROR: The configuration should not be used.
        WARNING: The configuration can be used, but is unusual.
        INFO: A difference from the version in force.
    """

    ERROR = "error"
    WARNING = "warning"
    INFO = "info"


class Finding(NamedTuple):
    """Result of a check. It never contains an API key.

    Attributes:
        severity: Severity.
        code: Stable, machine-readable name of the kind of finding.
        subject: The entry that it is about, such as `queue claims`.
        text: Description.
    """

    severity: Severity
    code: str
    subject: str
    text: str


class WorkspaceEntry(NamedTuple):
    """Name and keys of one workspace entry, as listed."""

    name: str
    keys: tuple[str, ...]


class Candidate(NamedTuple):
    """A configuration to check.

    Attributes:
        configuration: The decoded configuration.
        workspace_entries: All workspace entries, in the order of the document.
        services: Names of the services that the document lists; None if it has
            no such list.
    """

    configuration: model.Configuration
    workspace_entries: tuple[WorkspaceEntry, ...]
    services: frozenset[str] | None = None


_Check = Callable[[Candidate, model.Configuration | None], Iterator[Finding]]
_checks: list[_Check] = []


def find(
    candidate: Candidate, in_force: model.Configuration | None = None
) -> list[Finding]:
    """Returns the findings of all checks, errors first.

    Args:
        candidate: The configuration to check.
        in_force: The version in force, if the candidate is to be compared.
    """
    findings = [
        each for check in _checks for each in check(candidate, in_force)
    ]
    order = list(Severity)
    return sorted(findings, key=lambda each: order.index(each.severity))


def create_undecodable(cause: str) -> Finding:
    """Returns the finding for a document that cannot be decoded."""
    return _error("undecodable", "configuration", cause)


def has_errors(findings: Iterable[Finding]) -> bool:
    """Returns whether any finding is an error."""
    return any(each.severity is Severity.ERROR for each in findings)


def _check(check: _Check) -> _Check:
    """Registers a check; serves as a decorator."""
    _checks.append(check)
    return check


def _error(code: str, subject: str, text: str) -> Finding:
    return Finding(Severity.ERROR, code, subject, text)


def _queue_subject(name: str) -> str:
    return f"queue {name or '(no name)'}"


def _workspace_subject(name: str) -> str:
    return f"workspace {name or '(no name)'}"


def _repeated(names: Iterable[str]) -> list[tuple[str, int]]:
    counts = collections.Counter(names)
    return [(name, count) for name, count in counts.items() if count > 1]


@_check
def _check_version(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    version = candidate.configuration.version
    if in_force is not None and version <= in_force.version:
        yield _error(
            "version-not-higher",
            "configuration",
            f"version {version} is not higher than version"
            f" {in_force.version}, which is in force",
        )


@_check
def _check_names(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    del in_force
    queues = [each.name for each in candidate.configuration.queues]
    workspaces = [each.name for each in candidate.workspace_entries]
    for kind, names in (("queue", queues), ("workspace", workspaces)):
        if "" in names:
            yield _error("empty-name", kind, f"a {kind} has an empty name")
        for name, count in _repeated(names):
            yield _error(
                "duplicate-name",
                f"{kind} {name or '(no name)'}",
                f"{count} entries have this name",
            )


@_check
def _check_reachability(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    del in_force
    # Of several matching queues, the one with the longest prefix is used, and of
    # equal prefixes the first. A longer prefix never takes all the paths of a
    # shorter one that begins with a slash.
    first: dict[tuple[str, str], model.Queue] = {}
    for queue in candidate.configuration.queues:
        subject = _queue_subject(queue.name)
        if not queue.prefix:
            yield _error(
                "invalid-prefix",
                subject,
                "the prefix is empty; write '/' for all paths of the host",
            )
        elif not queue.prefix.startswith(_PATH_START):
            yield _error(
                "invalid-prefix",
                subject,
                f"the prefix {queue.prefix!r} does not begin with a slash, so"
                " no path matches it",
            )
        other = first.setdefault((queue.host, queue.prefix), queue)
        if other is not queue:
            yield _error(
                "unreachable-queue",
                subject,
                f"{_queue_subject(other.name)} has the same host"
                f" {queue.host!r} and prefix {queue.prefix!r} and gets all"
                " requests",
            )


@_check
def _check_empty_prefixes(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    del in_force
    queues = candidate.configuration.queues
    roots = {q.host: q for q in queues if q.prefix == _PATH_START}
    for queue in queues:
        if not queue.prefix and queue.host in roots:
            other = roots[queue.host]
            yield _error(
                "unreachable-queue",
                _queue_subject(queue.name),
                f"{_queue_subject(other.name)} has the same host"
                f" {queue.host!r} and prefix '/', which every path matches",
            )


@_check
def _check_services(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    del in_force
    if candidate.services is None:
        return
    for queue in candidate.configuration.queues:
        if queue.service not in candidate.services:
            yield _error(
                "unknown-service",
                _queue_subject(queue.name),
                f"no listed service has the name {queue.service!r}",
            )


@_check
def _check_attempts(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    del in_force
    for queue in candidate.configuration.queues:
        if queue.attempts < 1:
            yield _error(
                "no-attempts",
                _queue_subject(queue.name),
                f"{queue.attempts} attempts; at least 1 is needed",
            )


@_check
def _check_objectives(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    del in_force
    for queue in candidate.configuration.queues:
        if not queue.stretch and not queue.target_ms:
            yield _error(
                "zero-objective",
                _queue_subject(queue.name),
                "stretch and target are both 0, so the latency objective of"
                " every job is 0 ms",
            )


@_check
def _check_keys(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    del in_force
    # Names in the order of the entries; a dict serves as an ordered set.
    names_by_key: dict[str, dict[str, None]] = {}
    keys_by_name: dict[str, set[str]] = {}
    for entry in candidate.workspace_entries:
        keys_by_name.setdefault(entry.name, set()).update(entry.keys)
        for key in entry.keys:
            names_by_key.setdefault(key, {})[entry.name] = None
    shared = collections.Counter(
        tuple(names) for names in names_by_key.values() if len(names) > 1
    )
    for names, count in shared.items():
        yield _error(
            "shared-key",
            f"workspaces {', '.join(name or '(no name)' for name in names)}",
            f"{_count_keys(count)} in each of these workspaces",
        )
    for name, keys in keys_by_name.items():
        if not keys:
            yield _error(
                "no-keys",
                _workspace_subject(name),
                "it has no API key, so it cannot submit jobs",
            )


@_check
def _check_workspace_limits(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    del in_force
    for name, workspace in candidate.configuration.workspaces.items():
        limit = workspace.limit
        for amount, smallest, unit in (
            (limit.millicores, _SMALLEST_MILLICORES, "millicores"),
            (limit.memory_mib, _SMALLEST_MEMORY_MIB, "MiB"),
        ):
            # 0 means that the resource is not limited.
            if 0 < amount < smallest:
                yield Finding(
                    Severity.WARNING,
                    "small-limit",
                    _workspace_subject(name),
                    f"the limit of {amount} {unit} is below {smallest}"
                    f" {unit}, less than ordinary tasks need",
                )


@_check
def _check_request_limits(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    del in_force
    limits = candidate.configuration.limits
    defaults = web_limits.HttpLimits()
    header_ms = limits.header_ms or defaults.request_s * _MS_PER_S
    idle_ms = limits.idle_ms or defaults.idle_s * _MS_PER_S
    if header_ms > idle_ms:
        yield _error(
            "contradicting-timeouts",
            "limits",
            f"the header timeout of {header_ms:g} ms is longer than the idle"
            f" timeout of {idle_ms:g} ms (defaults apply to missing values)",
        )


@_check
def _compare_queues(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    if in_force is None:
        return
    yield from _compare(
        "queue",
        {each.name: each for each in in_force.queues},
        {each.name: each for each in candidate.configuration.queues},
    )


@_check
def _compare_workspaces(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    if in_force is None:
        return
    yield from _compare(
        "workspace", in_force.workspaces, candidate.configuration.workspaces
    )


@_check
def _compare_keys(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    if in_force is None:
        return
    former = _keys_by_workspace(in_force)
    new = _keys_by_workspace(candidate.configuration)
    for name in sorted({*former, *new}):
        for code, verb, keys in (
            ("keys-added", "added", new[name] - former[name]),
            ("keys-removed", "removed", former[name] - new[name]),
        ):
            if keys:
                yield Finding(
                    Severity.INFO,
                    code,
                    _workspace_subject(name),
                    f"{_count_keys(len(keys))} {verb}",
                )


@_check
def _compare_request_limits(
    candidate: Candidate, in_force: model.Configuration | None
) -> Iterator[Finding]:
    if in_force is None:
        return
    changes = _describe_changes(in_force.limits, candidate.configuration.limits)
    if changes:
        yield Finding(Severity.INFO, "limits-changed", "limits", changes)


def _compare(
    kind: str,
    former: Mapping[str, model.Queue] | Mapping[str, model.Workspace],
    new: Mapping[str, model.Queue] | Mapping[str, model.Workspace],
) -> Iterator[Finding]:
    for name in sorted({*former, *new}):
        before, after = former.get(name), new.get(name)
        if before == after:
            continue
        if before is None:
            code, text = f"{kind}-added", "added"
        elif after is None:
            code, text = f"{kind}-removed", "removed"
        else:
            code, text = f"{kind}-changed", _describe_changes(before, after)
        subject = f"{kind} {name or '(no name)'}"
        yield Finding(Severity.INFO, code, subject, text)


def _describe_changes(
    before: model.Queue | model.Workspace | model.RequestLimits,
    after: model.Queue | model.Workspace | model.RequestLimits,
) -> str:
    former, new = _flatten(before), _flatten(after)
    return ", ".join(
        f"{name}: {former.get(name)} -> {new.get(name)}"
        for name in {**former, **new}
        if former.get(name) != new.get(name)
    )


def _flatten(entry: object, prefix: str = "") -> dict[str, object]:
    """Returns the fields of a NamedTuple, with those of nested ones."""
    result: dict[str, object] = {}
    for name, value in entry._asdict().items():  # type: ignore[attr-defined]
        if hasattr(value, "_asdict"):
            result.update(_flatten(value, f"{prefix}{name}."))
        else:
            result[prefix + name] = value
    return result


def _keys_by_workspace(
    configuration: model.Configuration,
) -> collections.defaultdict[str, set[str]]:
    result: collections.defaultdict[str, set[str]]
    result = collections.defaultdict(set)
    for key, name in configuration.keys.items():
        result[name].add(key)
    return result


def _count_keys(count: int) -> str:
    return "1 key" if count == 1 else f"{count} keys"
