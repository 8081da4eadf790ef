"""The journal: decisions and answers, written to the object store in batches.

The journal survives the replacement of an entry.  Object keys start with the
entry's incarnation and contain the time of writing, so that a reader finds the
batches of an owner without an index.
"""

import json
import zlib

import attrs

from gapdrum.claims import Owner
from gapdrum.commits import Committer
from gapdrum.conversion import structure, unstructure
from gapdrum.decisions import Decision, DecisionLog
from gapdrum.exceptions import StoreError
from gapdrum.models import Answer
from gapdrum.timers import Timers

FLUSH_INTERVAL_MS = 1_000
MAX_BATCH_ROWS = 20_000
MAX_UNWRITTEN_ANSWERS = 20_000
# Batches are searched from EARLY_MS before the creation of a job to LATE_MS after it.
EARLY_MS = 5_000
LATE_MS = 150_000


@attrs.frozen
class JournalBatch:
    """One object of the journal."""

    decisions: list[Decision]
    answers: list[Answer]


class Journal:
    """Writes this entry's batches and reads those of all entries."""

    def __init__(
        self, owner: Owner, committer: Committer, decisions: DecisionLog, timers: Timers
    ) -> None:
        self._owner = owner
        self._committer = committer
        self._decisions = decisions
        self._timers = timers
        self._answers: list[Answer] = []
        self._sequence = 0
        self._flushing = False

    def add_answer(self, answer: Answer) -> None:
        """Add an answer to the next batch."""
        self._answers.append(answer)
        del self._answers[:-MAX_UNWRITTEN_ANSWERS]

    async def flush(self) -> bool:
        """Write a batch; return False if the store rejected it or a write is in progress."""
        if self._flushing:
            return False
        decisions = self._decisions.take_unwritten()
        answers, self._answers = self._answers, []
        if not decisions and not answers:
            return True
        self._flushing = True
        try:
            batch = JournalBatch(decisions[:MAX_BATCH_ROWS], answers)
            await self._write(batch)
            self._decisions.put_back(decisions[MAX_BATCH_ROWS:])
            return True
        except StoreError:
            self._decisions.put_back(decisions[-2 * MAX_BATCH_ROWS :])
            self._answers = answers + self._answers
            return False
        finally:
            self._flushing = False

    async def find(self, owner: Owner, job_id: str, created_wall_ms: int) -> JournalBatch:
        """Return all that an incarnation of an entry wrote about a job; raises StoreError."""
        keys = await self._committer.call(self._committer.client.list_objects, _prefix(owner))
        earliest_ms = created_wall_ms - EARLY_MS
        latest_ms = created_wall_ms + LATE_MS
        found = JournalBatch([], [])
        for key in keys:
            if not earliest_ms <= _written_at(key) <= latest_ms:
                continue
            content = await self._committer.call(self._committer.client.get_object, key)
            if content is not None:
                _collect(found, _unpack(content), job_id)
        return found

    async def _write(self, batch: JournalBatch) -> None:
        self._sequence += 1
        key = f"{_prefix(self._owner)}{self._timers.wall_ms():015d}-{self._sequence:08d}"
        content = zlib.compress(json.dumps(unstructure(batch)).encode(), 1)
        await self._committer.put_object(key, content)


def _prefix(owner: Owner) -> str:
    return f"journal/{owner.entry_id}/{owner.incarnation}/"


def _written_at(key: str) -> int:
    stamp = key.rpartition("/")[2].partition("-")[0]
    return int(stamp) if stamp.isdigit() else 0


def _unpack(content: bytes) -> JournalBatch:
    return structure(json.loads(zlib.decompress(content)), JournalBatch)


def _collect(found: JournalBatch, batch: JournalBatch, job_id: str) -> None:
    found.decisions.extend(row for row in batch.decisions if row.job_id == job_id)
    found.answers.extend(row for row in batch.answers if row.job_id == job_id)
