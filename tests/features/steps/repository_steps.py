"""Steps for consistency checks of the repository."""

from __future__ import annotations

import pathlib
import re

from behave import then

_ROOT = pathlib.Path(__file__).parents[3]
_LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)[^)]*\)")
_PAGE = re.compile(r"`((?:docs/)?[\w-]+\.md)`")
_TAGGED = re.compile(r"@known-red[^\n]*\n\s*Scenario(?: Outline)?: ([^\n]+)")
_ENTRY = re.compile(r"^test: (.+)$", re.MULTILINE)


def _pages():
    return [_ROOT / "README.md", *sorted((_ROOT / "docs").glob("**/*.md"))]


def _tagged_scenarios():
    features = (_ROOT / "tests" / "features").glob("**/*.feature")
    return {
        name.strip()
        for feature in features
        for name in _TAGGED.findall(feature.read_text(encoding="utf-8"))
    }


def _listed_scenarios():
    record = _ROOT / "KNOWN-RED.txt"
    if not record.exists():
        return set()
    return {name.strip() for name in _ENTRY.findall(record.read_text())}


@then("every relative link in a documentation page names an existing file")
def check_links(context):
    missing = []
    for page in _pages():
        text = page.read_text(encoding="utf-8")
        links = [link for link in _LINK.findall(text) if "://" not in link]
        for link in links:
            if not (page.parent / link).exists():
                missing.append(f"{page.name}: {link}")
        for name in _PAGE.findall(text):
            if not ((page.parent / name).exists() or (_ROOT / name).exists()):
                missing.append(f"{page.name}: {name}")
    assert not missing, missing


@then("every scenario tagged known-red is listed in KNOWN-RED.txt")
def check_tagged_listed(context):
    unlisted = _tagged_scenarios() - _listed_scenarios()
    assert not unlisted, unlisted


@then("every entry of KNOWN-RED.txt names a scenario tagged known-red")
def check_listed_tagged(context):
    untagged = _listed_scenarios() - _tagged_scenarios()
    assert not untagged, untagged
