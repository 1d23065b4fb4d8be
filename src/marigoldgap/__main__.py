"""Entry point of the command line: `python -m marigoldgap`."""

from __future__ import annotations

from marigoldgap.console import application

if __name__ == "__main__":
    application.main()
