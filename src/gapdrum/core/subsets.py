"""Which entries an agent keeps a stream to: a bounded subset that is stable while they live.

Also which entries take over the jobs of another one, as its agents keep streams to these as well.
"""

import functools
import hashlib
from collections.abc import Iterable, Iterator
from itertools import zip_longest

import attrs

# How many reachable entries an agent serves, half of them in its own zone. With five agents per
# entry, as in large fleets, an entry sees 20 agents and their runners: enough to find room for a
# wide job, few enough that entries seldom compete for the same room. Six entries per agent cost a
# third more messages and refused orders, without a gain.
ENTRIES_PER_AGENT = 4
# How many further entries an agent in an open zone serves that are in drained zones. With three
# zones an entry in a drained one loses the agents of its zone, 11 of the 23 that serve it, and gets
# as many back; otherwise its callers are served worse than others.
EXTRA_DRAINED_ENTRIES = 1
# How many entries may take over the jobs of an owner at once; the second one is for the case that
# the first one fails at the same time. Agents that hold work of the owner join only these.
SUCCESSORS = 2
# Other entries take over what is left after this time, and agents that still hold work of the owner
# join all entries a little earlier.
SUCCESSION_MS = 2_000
PERMILLE = 1_000
HASH_BYTES = 8


@attrs.frozen
class Candidate:
    """An entry that an agent knows.

    ``is_near`` is set if it is in the agent's zone, ``is_down`` if no stream to it could be opened
    for a while, ``holds_work`` if the agent holds work of it, and ``is_drained`` if its zone is
    drained while the agent's is not. ``wanted_permille`` is the share of all agents that it
    requests.
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

    These are the first by rendezvous hashing, those whose work it holds, and those that request a
    share of all agents that includes it. An entry that is down stays, and another one is added::

        choose_entries("side-1", [Candidate("edge-1", is_near=True), ...])
    """
    known = sorted(candidates, key=lambda one: _rank(agent, one.entry))
    if join_all:
        return frozenset(one.entry for one in known)
    chosen = {one.entry for one in known if one.holds_work or _is_requested(agent, one)}
    live = 0
    for one in _by_preference(known):
        chosen.add(one.entry)
        live += not one.is_down
        if live == ENTRIES_PER_AGENT:
            break
    drained = [one.entry for one in known if one.is_drained and one.entry not in chosen]
    return frozenset(chosen.union(drained[:EXTRA_DRAINED_ENTRIES]))


def choose_successors(owner: str, entries: Iterable[str]) -> frozenset[str]:
    """Return which of the entries with a lease take over the durable jobs of an owner without one.

    Entries and agents know the same entries, by their rows in the store, and choose the same ones.
    """
    ranked = sorted(entries, key=lambda entry: _rank(owner, entry))
    return frozenset(ranked[:SUCCESSORS])


def _by_preference(ranked: list[Candidate]) -> Iterator[Candidate]:
    """Yield entries of the agent's zone and others in turn, so a cut-off zone serves itself."""
    near = [one for one in ranked if one.is_near]
    far = [one for one in ranked if not one.is_near]
    for pair in zip_longest(near, far):
        yield from filter(None, pair)


def _is_requested(agent: str, candidate: Candidate) -> bool:
    return _rank(agent, candidate.entry) * PERMILLE < candidate.wanted_permille << 8 * HASH_BYTES


@functools.lru_cache(maxsize=4_096)
def _rank(chooser: str, entry: str) -> int:
    """Return a number that is evenly distributed over all pairs and equal in every process."""
    digest = hashlib.blake2b(f"{chooser}\n{entry}".encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
