"""Prints the effect of each dispatch mechanism in replays of loads.

    python tools/ablation.py --seeds 6

Each row is a mechanism that is disabled or replaced; in the first row all are enabled.
"""

import argparse
import functools
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from statistics import mean, stdev

from load_policies import ALTERNATIVES, SWITCHES, changed
from load_replay import Report, replay
from loads import (
    competing,
    drained_zone,
    hot_rack,
    long_tasks,
    long_work,
    overload,
    steady,
    uneven,
)

LOADS = {
    "overload": overload,
    "steady": steady,
    "long work": long_work,
    "drained zone": drained_zone,
    "uneven": uneven,
    "busy uneven": functools.partial(uneven, factor=1.7),
    "hot rack": hot_rack,
    "long tasks": long_tasks,
    "competing": competing,
}


def play(case: tuple[str, str, int]) -> Report:
    """Replay one load with one change."""
    name, load, seed = case
    with changed(name):
        return replay(LOADS[load](seed))


def print_row(name: str, load: str, reports: list[Report]) -> None:
    """Print the means of a change over all seeds."""
    marks = [report.mark for report in reports]
    outcomes = sum((report.outcomes for report in reports), Counter())
    total = sum(outcomes.values())
    shares = " ".join(f"{kind} {count / total:.3f}" for kind, count in sorted(outcomes.items()))
    print(
        f"| {name or 'all on'} | {load} | {mean(marks):.3f} ± {stdev(marks):.3f} "
        f"| {mean(report.worth for report in reports):.3f} "
        f"| {mean(report.worst_kind for report in reports):.3f} "
        f"| {mean(report.worst_entry for report in reports):.3f} "
        f"| {mean(report.refused_with_room for report in reports):.3f} | {shares} |",
        flush=True,
    )


def main() -> None:
    """Replay all cases and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=6, help="replays of each case, at least 2")
    parser.add_argument("--jobs", type=int, default=4, help="replays in parallel")
    parser.add_argument("--loads", nargs="*", help="loads; default: all")
    parser.add_argument("names", nargs="*", help="changes; default: all")
    arguments = parser.parse_args()
    names = arguments.names or ["", *SWITCHES, *ALTERNATIVES]
    loads = arguments.loads or list(LOADS)
    seeds = range(1, arguments.seeds + 1)
    cases = [(name, load, seed) for name in names for load in loads for seed in seeds]
    print("| off | load | mark | worth | worst kind | worst entry | refused with room | shares |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(arguments.jobs, mp_context=get_context("spawn")) as pool:
        reports = pool.map(play, cases)
        for name in names:
            for load in loads:
                print_row(name, load, [next(reports) for _ in seeds])


if __name__ == "__main__":
    main()
