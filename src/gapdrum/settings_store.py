"""Reads and changes the settings tree in the store, by compare-and-set and with an audit trail."""

import asyncio
import uuid

import attrs

from gapdrum.commits import Committer
from gapdrum.conversion import structure, unstructure
from gapdrum.exceptions import (
    InvalidInputError,
    StoreError,
    StoreOutcomeUnknownError,
    VersionConflictError,
)
from gapdrum.settings import SettingsHolder, SettingsTree, check_tree
from gapdrum.store import ABSENT, ConditionFailedError, Row, TableWrite
from gapdrum.structures import count_field, text_field
from gapdrum.timers import MS_PER_S, Timers

TREE_KEY = "config/tree"
AUDIT_PREFIX = "config/audit/"
POLL_INTERVAL_MS = 1_000
MAX_RECOVERY_TRIES = 20
RECOVERY_PAUSE_MS = 200


@attrs.frozen
class RequestedValue:
    """One value to set at a node; None removes it, so that the node inherits it."""

    path: str = text_field()
    name: str = text_field()
    value: int | str | None


@attrs.frozen
class ValueChange:
    """One value of a node before and after a change; None if the node does not set it."""

    path: str
    name: str
    before: int | str | None
    after: int | str | None


@attrs.frozen
class ChangeRequest:
    """The changes that an operator requests, based on the version that the operator saw."""

    base_version: int = count_field()
    changes: list[RequestedValue]
    reason: str = text_field(1_000, default="")
    dry_run: bool = False


@attrs.frozen
class AuditRecord:
    """One change of the settings: the operator, the time, the reason and the values."""

    version: int
    change_id: str
    operator: str
    reason: str
    time_wall_ms: int
    changes: list[ValueChange]


@attrs.frozen
class StoredTree:
    """The store row of the tree; a writer recognises its own write by ``change_id``."""

    change_id: str
    nodes: dict[str, dict[str, int | str]]


class SettingsStore:
    """Brings the stored settings into force in this process, and writes changes."""

    def __init__(self, committer: Committer, settings: SettingsHolder, timers: Timers) -> None:
        self._committer = committer
        self._settings = settings
        self._timers = timers
        self.is_loaded = False

    async def refresh(self) -> bool:
        """Read the tree from the store; return whether a newer one came into force."""
        try:
            row = (await self._committer.read([TREE_KEY]))[TREE_KEY]
        except StoreError:
            return False
        self.is_loaded = True
        return row is not None and self.apply_row(row.version, row)

    def apply_row(self, version: int, row: Row) -> bool:
        """Bring the tree of a row into force if it is newer and valid."""
        if version <= self._settings.version:
            return False
        try:
            stored = structure(row.value, StoredTree)
            tree = SettingsTree(version, check_tree(stored.nodes))
        except InvalidInputError:
            return False
        return self._settings.apply_if_newer(tree)

    async def change(self, request: ChangeRequest, operator: str) -> AuditRecord:
        """Apply changes to their base version; returns once they are stored.

        Raises VersionConflictError if another change was stored first,
        InvalidInputError with all findings if the result is not valid, and
        StoreError if the store did not accept the change.
        """
        tree = await self._read_tree()
        if tree.version != request.base_version:
            raise VersionConflictError(
                f"the settings are at version {tree.version}, not {request.base_version}"
            )
        value_changes, nodes = apply_changes(tree, request.changes)
        check_tree(nodes)
        record = AuditRecord(
            tree.version + 1,
            uuid.uuid4().hex,
            operator,
            request.reason,
            self._timers.wall_ms(),
            value_changes,
        )
        if not request.dry_run:
            await self._write(record, nodes)
            self._settings.apply_if_newer(SettingsTree(record.version, nodes))
        return record

    async def history(self) -> list[AuditRecord]:
        """Return the audit trail, oldest first; raises StoreError."""
        rows = await self._committer.call(self._committer.client.scan, AUDIT_PREFIX)
        return [structure(row.value, AuditRecord) for row in rows]

    async def _read_tree(self) -> SettingsTree:
        row = (await self._committer.read([TREE_KEY]))[TREE_KEY]
        if row is None:
            return SettingsTree()
        return SettingsTree(row.version, structure(row.value, StoredTree).nodes)

    async def _write(self, record: AuditRecord, nodes: dict[str, dict[str, int | str]]) -> None:
        """Write the tree and the audit row in one transaction.

        If the store's answer is lost, the write is repeated; a failed condition is
        then resolved by reading the audit row.
        """
        stored = StoredTree(record.change_id, nodes)
        audit_key = f"{AUDIT_PREFIX}{record.version:010d}"
        writes = [
            TableWrite(TREE_KEY, record.version - 1, unstructure(stored)),
            TableWrite(audit_key, ABSENT, unstructure(record)),
        ]
        for _ in range(MAX_RECOVERY_TRIES):
            try:
                await self._committer.call(self._committer.client.transact, writes)
                return
            except ConditionFailedError:
                if await self._is_written(record, audit_key):
                    return
                raise VersionConflictError("another change was stored first") from None
            except StoreOutcomeUnknownError:
                await asyncio.sleep(RECOVERY_PAUSE_MS / MS_PER_S)
        raise StoreOutcomeUnknownError("the change may or may not have been accepted")

    async def _is_written(self, record: AuditRecord, audit_key: str) -> bool:
        """Return whether the audit row of this version was written by this change."""
        for _ in range(MAX_RECOVERY_TRIES):
            try:
                row = (await self._committer.read([audit_key]))[audit_key]
                return row is not None and row.value["change_id"] == record.change_id
            except StoreError:
                await asyncio.sleep(RECOVERY_PAUSE_MS / MS_PER_S)
        raise StoreOutcomeUnknownError("the change may or may not have been accepted")


def apply_changes(
    tree: SettingsTree, changes: list[RequestedValue]
) -> tuple[list[ValueChange], dict[str, dict[str, int | str]]]:
    """Return the changes with the values before them, and the nodes after them."""
    nodes = {path: dict(values) for path, values in tree.nodes.items()}
    value_changes = []
    for request in changes:
        values = nodes.setdefault(request.path, {})
        before = values.get(request.name)
        value_changes.append(ValueChange(request.path, request.name, before, request.value))
        if request.value is None:
            values.pop(request.name, None)
        else:
            values[request.name] = request.value
    return value_changes, {path: values for path, values in nodes.items() if values}
