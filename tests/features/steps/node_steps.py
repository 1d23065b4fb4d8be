"""Steps for the start of a serving process."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys
import tempfile

from behave import then
from behave import when

# Exits at the first import of a large module and prints whether SIGHUP is
# ignored by then.
_PRINT_SIGHUP_STATE = """
import runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name in ("asyncio", "marigoldgap.node.process"):
            print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)
            sys.exit(0)

sys.meta_path.insert(0, Finder())
runpy.run_module("marigoldgap.node", run_name="__main__")
"""
_TIMEOUT_S = 20


def _run(arguments, settings):
    environment = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(sys.path),
        "MARIGOLDGAP_BOOT": str(settings),
    }
    return subprocess.run(
        [sys.executable, *arguments],
        env=environment,
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )


@when("a process starts")
def start_watched(context):
    context.result = _run(["-c", _PRINT_SIGHUP_STATE], "/nonexistent")


@then("SIGHUP is ignored before any large module is imported")
def sighup_ignored(context):
    assert context.result.stdout.strip() == "True", context.result


@when("a process starts with the settings {content}")
def start_with(context, content):
    with tempfile.TemporaryDirectory() as folder:
        settings = pathlib.Path(folder) / "node.json"
        settings.write_text("" if content == "nothing" else content)
        context.result = _run(["-m", "marigoldgap.node"], settings)


@then('it exits with {code:d} and its only line is the event "{event}"')
def exits(context, code, event):
    assert context.result.returncode == code, context.result
    [line] = context.result.stdout.splitlines()
    assert json.loads(line)["event"] == event, line
