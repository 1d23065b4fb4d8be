"""Check of the configuration invariant."""

from __future__ import annotations

from bench.invariants import registry


@registry.invariant("config_reverted")
def config_reverted(case: registry.Case) -> list[str]:
    """Finds reverted, inconsistent, repeated and missing versions."""
    run = case.observations
    found = []
    texts: dict[int, str] = {}
    for accepted in run.versions_accepted:
        if accepted.version in texts:
            found.append(f"version {accepted.version} was accepted twice")
        texts[accepted.version] = accepted.text
    highest: dict[str, int] = {}
    for seen in sorted(run.versions_seen, key=lambda each: each.at_ms):
        before = highest.get(seen.entry, 0)
        if seen.version < before:
            found.append(
                f"{seen.entry}: version went from {before} back to"
                f" {seen.version}"
            )
        highest[seen.entry] = max(before, seen.version)
        if texts.get(seen.version, seen.text) != seen.text:
            found.append(
                f"{seen.entry}: text of version {seen.version} is not the"
                " accepted one"
            )
    return found + _find_outdated(case, highest)


def _find_outdated(case: registry.Case, highest: dict[str, int]) -> list[str]:
    """Finds entry instances that never reported the last accepted version."""
    accepted = case.observations.versions_accepted
    last = max((each.version for each in accepted), default=0)
    return [
        f"{entry} is still at {version} instead of {last}"
        for entry, version in highest.items()
        if version < last
    ]
