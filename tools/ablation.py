"""Prints what each mechanism of the decisions is worth in replays of loads.

    python tools/ablation.py --seeds 6

A row is a mechanism that is off, or one that takes another's place; the first row has all on.
"""

import argparse
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from statistics import mean, stdev

from load_policies import ALTERNATIVES, SWITCHES, changed
from load_replay import Report, replay
from loads import drained_zone, long_work, overload, steady, uneven_entries

LOADS = {
    "overload": overload,
    "steady": steady,
    "long work": long_work,
    "drained zone": drained_zone,
    "uneven entries": uneven_entries,
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
    """Replay all cases, and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=6, help="replays of each case, at least 2")
    parser.add_argument("--jobs", type=int, default=4, help="replays at a time")
    parser.add_argument("--loads", nargs="*", help="loads; all if none is named")
    parser.add_argument("names", nargs="*", help="changes; all if none is named")
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
