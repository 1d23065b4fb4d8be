"""Publishes configuration versions by compare-and-set on the head row."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.config_store import conflicts
from marigoldgap.config_store import encoding
from marigoldgap.config_store import interfaces
from marigoldgap.config_store import keys
from marigoldgap.config_store import model
from marigoldgap.config_store import reader
from marigoldgap.config_store import rows
from marigoldgap.config_store import state as state_module
from marigoldgap.config_store import version_changes
from marigoldgap.rules import parser
from marigoldgap.table_service import model as table_service_model

_log = logs.PartLogger("config_store")

_MAX_ATTEMPTS = 20
_MAX_BACKOFF_MS = 100


class ApplyResult(NamedTuple):
    """Result of applying rules.

    Attributes:
        version: The published version, or the newest one if nothing changed.
        changed: False if the same rules were already in force.
    """

    version: int
    changed: bool


class GrantResult(NamedTuple):
    """A granted key; `key` is returned only once and stored nowhere."""

    key: str
    key_id: str
    version: int


class _Draft(NamedTuple):
    """The content of a version to be published.

    Attributes:
        kind: Kind of the version.
        author: Operator who made the change.
        content: Content of the version.
        puts: Rows to write in the same transaction.
    """

    kind: str
    author: str
    content: Any
    puts: tuple[table_service_model.Put, ...] = ()


_MakeDraft = Callable[[model.Configuration], _Draft | None]


class ConfigPublisher:
    """Applies rules, grants keys and publishes withdrawals.

    Args:
        config_reader: Reads the configuration rows.
        committer: Writes rows.
        state: Adopts published versions immediately.
        random_source: Source of the pauses between attempts (full jitter).
    """

    def __init__(
        self,
        config_reader: reader.ConfigReader,
        committer: interfaces.Committer,
        state: state_module.ConfigState,
        random_source: random.Random,
    ) -> None:
        self._reader = config_reader
        self._committer = committer
        self._state = state
        self._random_source = random_source

    async def apply_rules(
        self, base_version: int, text: str, author: str
    ) -> ApplyResult:
        """Publishes a rules text.

        The call is idempotent: if the text is already in force, the newest
        version is returned. Versions that only change keys cause no conflict.

        Args:
            base_version: Version whose rules the author edited.
            text: The complete new text.
            author: Operator who applies it.

        Raises:
            errors.RulesError: The text has errors.
            errors.ConflictError: The rules changed after `base_version`; the
                message names the line and who changed it.
            errors.StoreUnavailableError: Nothing was published.
            errors.StoreOutcomeUnknownError: The text may have been published;
                the call may be repeated.
        """
        parser.parse(text)

        async def check(configuration: model.Configuration) -> None:
            await self._check_base(base_version, text, configuration)

        def make(configuration: model.Configuration) -> _Draft | None:
            if configuration.rules_text == text:
                return None
            content = version_changes.rules_content(
                configuration.rules_text, text
            )
            return _Draft(model.KIND_RULES, author, content)

        version, changed = await self._publish(make, check)
        return ApplyResult(version, changed)

    async def grant_key(self, team: str, author: str) -> GrantResult:
        """Grants a new key to a team.

        Raises:
            errors.NotFoundError: The team has no rule.
            errors.StoreUnavailableError: No key was granted.
            errors.StoreOutcomeUnknownError: A key whose secret is lost may
                have been granted; the call may be repeated.
        """
        new_key = keys.new_key(team, author, clock.wall_ms())

        def make(configuration: model.Configuration) -> _Draft:
            if team not in parser.parse(configuration.rules_text).teams:
                raise errors.NotFoundError(
                    f"team '{team}' has no rule; add a 'team' line first"
                )
            content = version_changes.key_content(new_key.record)
            return _Draft(model.KIND_KEY, author, content)

        version, _ = await self._publish(make)
        _log.info("Key %s granted to team %s", new_key.record.key_id, team)
        return GrantResult(new_key.key, new_key.record.key_id, version)

    async def publish_withdrawal(self, key_id: str, author: str) -> int:
        """Publishes the withdrawal of a key.

        The call is idempotent.

        Returns:
            The version with the withdrawal, or the newest version if the key
            is not granted any more.

        Raises:
            errors.StoreUnavailableError: Nothing was published.
            errors.StoreOutcomeUnknownError: The withdrawal may have been
                published; the call may be repeated.
        """
        value = {"author": author, "at_ms": clock.wall_ms()}
        denied = table_service_model.Put(rows.denied_key(key_id), value)

        def make(configuration: model.Configuration) -> _Draft | None:
            if key_id not in configuration.keys:
                return None
            content = version_changes.withdrawal_content(key_id)
            return _Draft(model.KIND_WITHDRAWAL, author, content, (denied,))

        version, _ = await self._publish(make)
        return version

    async def _publish(
        self,
        make: _MakeDraft,
        check: Callable[[model.Configuration], Any] | None = None,
    ) -> tuple[int, bool]:
        """Publishes the next version and retries on conflicting commits.

        Args:
            make: Returns the change of the newest configuration; None if
                there is nothing to change.
            check: Raises an error if the change conflicts with the newest
                configuration.

        Returns:
            The version, and whether this call published it.
        """
        for _ in range(_MAX_ATTEMPTS):
            head = await self._head()
            configuration = await self._configuration_at(head.version)
            if check is not None:
                await check(configuration)
            draft = make(configuration)
            if draft is None:
                return configuration.version, False
            try:
                return await self._commit(head, configuration, draft), True
            except errors.RowConflictError:
                await self._back_off()
        raise errors.StoreUnavailableError(
            "other changes were published each time; try again"
        )

    async def _commit(
        self,
        head: reader.Head,
        configuration: model.Configuration,
        draft: _Draft,
    ) -> int:
        change = model.ConfigVersion(
            configuration.version + 1,
            draft.kind,
            draft.author,
            clock.wall_ms(),
            draft.content,
        )
        after = version_changes.apply_version(configuration, change)
        puts = [*draft.puts, *_version_puts(change, after)]
        await self._committer.commit(
            table_service_model.Transaction(
                (table_service_model.Check(rows.HEAD, head.row_version),),
                tuple(puts),
            )
        )
        self._state.adopt([change])
        return change.version

    async def _head(self) -> reader.Head:
        """Returns the head; refuses to publish if the stored head went back.

        A version published then would reuse a number that other instances
        already know with another content.
        """
        known = self._state.version
        head = await self._reader.head()
        if head.version < known:
            raise errors.ConflictError(
                f"the table service is at version {head.version}, but version "
                f"{known} is in force; restore its rows first"
            )
        return head

    async def _configuration_at(self, version: int) -> model.Configuration:
        """Returns the configuration at a version; adopts missing versions."""
        if version > self._state.version:
            missing = await self._reader.versions(self._state.version, version)
            self._state.adopt(missing)
        if self._state.version == version:
            return self._state.configuration
        return await self._reader.configuration_at(version)

    async def _check_base(
        self, base_version: int, text: str, configuration: model.Configuration
    ) -> None:
        """Refuses rules that were edited from an outdated text."""
        if base_version > configuration.version:
            raise errors.ConflictError(
                f"version {base_version} does not exist; the newest is "
                f"{configuration.version}"
            )
        if (
            base_version == configuration.version
            or configuration.rules_text == text
        ):
            return
        base = await self._reader.configuration_at(base_version)
        if base.rules_text == configuration.rules_text:
            return
        later = await self._reader.history(
            base_version, configuration.version - base_version
        )
        raise errors.ConflictError(conflicts.describe(base, text, later))

    async def _back_off(self) -> None:
        backoff_ms = self._random_source.uniform(0, _MAX_BACKOFF_MS)
        await asyncio.sleep(backoff_ms / clock.MILLISECONDS_PER_SECOND)


def _version_puts(
    change: model.ConfigVersion, after: model.Configuration
) -> list[table_service_model.Put]:
    """Returns the rows of a version, with a snapshot row if one is due."""
    puts = [
        table_service_model.Put(
            rows.version_key(change.version), encoding.to_value(change)
        ),
        table_service_model.Put(rows.HEAD, {"version": change.version}),
    ]
    if rows.last_snapshot(change.version) == change.version:
        snapshot = version_changes.snapshot_of(after, change.applied_at_ms)
        puts.append(
            table_service_model.Put(
                rows.snapshot_key(change.version), encoding.to_value(snapshot)
            )
        )
    return puts
