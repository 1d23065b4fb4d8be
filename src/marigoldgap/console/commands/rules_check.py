"""The command `rules check`."""

from __future__ import annotations

import pathlib

import typer

from marigoldgap.console import exit_codes
from marigoldgap.console import groups
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.console import rules_files
from marigoldgap.rules import parser


@registry.command
class RulesCheckCommand:
    """Checks a rules file without an instance."""

    def register(self, application: typer.Typer) -> None:
        """Adds `rules check` to the application."""
        groups.get_or_add(application, "rules").command("check")(self.run)

    def run(self, path: pathlib.Path, as_json: options.AsJson = False) -> None:
        """Report every error of a rules file with a suggestion."""
        file = rules_files.read(path)
        found = [
            problem._replace(line=file.line_in_file(problem.line))
            for problem in parser.find_problems(file.text)
        ]
        if as_json:
            problems = [problem._asdict() for problem in found]
            output.print_json({"valid": not found, "problems": problems})
        elif found:
            output.print_lines(f"{path}: {each.description}" for each in found)
        else:
            rules = parser.parse(file.text)
            output.print_lines(
                [
                    f"{path}: valid, {len(rules.teams)} teams and "
                    f"{len(rules.queues)} queues"
                ]
            )
        if found:
            raise typer.Exit(exit_codes.FAILURE)
