"""Next steps for the operator, printed below an error message."""

from __future__ import annotations

_STEPS = {
    "connect-failed": (
        "check the addresses given by --instance or MARIGOLDGAP_INSTANCES and "
        "that the instances run"
    ),
    "job-impossible": (
        "ask for less per task; 'marigoldgap status' shows the workers"
    ),
    "key-invalid": (
        "check the key in the environment or in --key-file; an operator "
        "grants a new one with 'marigoldgap keys grant'"
    ),
    "not-found": "check the spelling; names and ids are case-sensitive",
    "outcome-unknown": (
        "it may have been done: look with 'jobs status', 'keys list' or "
        "'rules history' before you repeat it"
    ),
    "overloaded": "repeat the command in a few seconds",
    "request-invalid": "correct the value that the message names",
    "rules-invalid": "correct the lines, then 'marigoldgap rules check FILE'",
    "settings-invalid": "correct the fields that the message names",
    "store-outcome-unknown": (
        "repeat 'rules apply' or 'keys withdraw', which does no harm; look "
        "with 'keys list' or 'jobs status' before you repeat others"
    ),
    "store-unavailable": (
        "nothing was changed; repeat the command when the table service is "
        "back ('marigoldgap status' shows it)"
    ),
    "version-conflict": (
        "get the new rules with 'marigoldgap rules show --output FILE', make "
        "your change there and apply it again"
    ),
}
_DEFAULT = "see docs/OPERATIONS.md for this code"


def for_code(code: str) -> str:
    """Returns the next step for an error code."""
    return _STEPS.get(code, _DEFAULT)
