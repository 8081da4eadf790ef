"""Which entries an agent keeps a stream to: a bounded subset, the same as long as they live."""

import functools
import hashlib
from collections.abc import Iterable, Iterator
from itertools import zip_longest

import attrs

# An agent serves so many entries that it can reach, half of them in its own zone. With five
# agents an entry, as the large fleets have, an entry sees 20 runners: enough to find room for a
# wide job, few enough that entries seldom race for the same room. Replays of 35 entries and 160
# agents with a little more work than fits (two seeds): 10.2 messages a task and 2,286 of 11,554
# orders refused, 13.8 and 3,059 if an agent serves six entries, with the same worth.
ENTRIES_PER_AGENT = 4
# An agent in an open zone serves so many entries of drained zones beyond its own choice: with three
# zones they lose 11 of the 23 agents that serve them, and get as many back. While 1.2 times as much
# comes as the open zones hold (replays of 65 agents, two seeds), the worst-served zone gets 0.95 of
# what is owed to its callers, 0.91 without; all zones together get the same.
EXTRA_DRAINED_ENTRIES = 1
PERMILLE = 1_000
HASH_BYTES = 8


@attrs.frozen
class Candidate:
    """An entry that an agent knows.

    ``is_down`` tells that a stream to it could not be had for a while, ``holds_work`` that the
    agent holds work of it. ``wanted_permille`` is the share of all agents that it asks for, and
    ``is_drained`` tells that its zone is drained while the agent's is not.
    """

    entry: str
    is_near: bool
    is_down: bool = False
    holds_work: bool = False
    wanted_permille: int = 0
    is_drained: bool = False


def choose_entries(
    agent: str, candidates: Iterable[Candidate], join_all: bool = False
) -> frozenset[str]:
    """Return the entries that an agent should have a stream to.

    These are the first by rendezvous hashing, those that need it, and those that ask for a share
    of all agents that includes it. One that is down is tried on, but another takes its place::

        choose_entries("side-1", [Candidate("edge-1", is_near=True), ...])
    """
    known = sorted(candidates, key=lambda one: _rank(agent, one.entry))
    if join_all:
        return frozenset(one.entry for one in known)
    chosen = {one.entry for one in known if one.holds_work or _is_asked(agent, one)}
    live = 0
    for one in _by_preference(known):
        chosen.add(one.entry)
        live += not one.is_down
        if live == ENTRIES_PER_AGENT:
            break
    drained = [one.entry for one in known if one.is_drained and one.entry not in chosen]
    return frozenset(chosen.union(drained[:EXTRA_DRAINED_ENTRIES]))


def _by_preference(ranked: list[Candidate]) -> Iterator[Candidate]:
    """Yield entries of the own zone and others by turns, so that a cut zone serves itself."""
    near = [one for one in ranked if one.is_near]
    far = [one for one in ranked if not one.is_near]
    for pair in zip_longest(near, far):
        yield from filter(None, pair)


def _is_asked(agent: str, candidate: Candidate) -> bool:
    return _rank(agent, candidate.entry) * PERMILLE < candidate.wanted_permille << 8 * HASH_BYTES


@functools.lru_cache(maxsize=4_096)
def _rank(agent: str, entry: str) -> int:
    """Return a number that is spread evenly over all pairs, the same in every process."""
    digest = hashlib.blake2b(f"{agent}\n{entry}".encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
