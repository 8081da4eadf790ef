"""Placement policies: choose a runner for the next task, or none yet.

A policy is a function registered under a value of the setting ``placement``.
It returns None to hold the task at the entry until a slot is free (late
binding).
"""

import random
from collections.abc import Callable, Sequence

from gapdrum.members import RunnerView

Policy = Callable[[Sequence[RunnerView], str, int, random.Random], RunnerView | None]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a placement policy under a name."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


def choose_runner(
    name: str, runners: Sequence[RunnerView], zone: str, choices: int, rng: random.Random
) -> RunnerView | None:
    """Return the runner that the named policy picks, None to hold the task."""
    if not runners:
        return None
    return POLICIES[name](runners, zone, choices, rng)


@policy("random")
def choose_random(runners, _zone, _choices, rng) -> RunnerView | None:
    """Pick any runner at random, as a baseline."""
    return rng.choice(runners)


@policy("least_outstanding")
def choose_least_outstanding(runners, _zone, _choices, rng) -> RunnerView | None:
    """Pick the runner with the fewest outstanding tasks of this entry, ignoring other entries."""
    least = min(view.outstanding - view.slots for view in runners)
    return rng.choice([view for view in runners if view.outstanding - view.slots == least])


@policy("two_choices")
def choose_free_of_sample(runners, zone, choices, rng) -> RunnerView | None:
    """Sample a few runners with free slots and pick the least loaded, own zone first.

    Sampling keeps entries that decide at the same moment from all picking the
    same runner.  If no slot is free, the task is held and bound late.
    """
    free = [view for view in runners if view.free_slots > 0]
    same_zone = [view for view in free if view.zone == zone]
    candidates = same_zone or free
    if not candidates:
        return None
    sample = rng.sample(candidates, min(choices, len(candidates)))
    return max(sample, key=lambda view: view.free_slots / max(1, view.slots))
