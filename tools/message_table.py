"""Prints how many messages entries and agents exchange, by class, load and size of the fleet.

``python tools/message_table.py`` replays one second of each load in virtual time; with ``subsets``
each agent serves all entries, for comparison.
"""

import sys
from collections import Counter

from load_policies import changed
from load_replay import VirtualFleet, replay
from loads import MS_PER_S, large_fleet

SIZES = ((4, 11), (12, 67), (35, 160))
# Factors of the load: 87% of the capacity, and slightly more than all of it.
LOADS = {"usual": 1.2, "overload": 1.6}
IDLE = 1e-6
DURATION_MS = 1_000


def print_columns(entries: int, agents: int) -> None:
    """Print the figures of one size of fleet."""
    idle = VirtualFleet(large_fleet(1, DURATION_MS, IDLE, entries, agents))
    idle.run()
    print(f"{entries} x {agents}, idle: {per_second(idle.messages)} messages a second")
    for name, factor in LOADS.items():
        report = replay(large_fleet(1, DURATION_MS, factor, entries, agents))
        print(
            f"{entries} x {agents}, {name}: {report.tasks} tasks, {per_second(report.messages)} "
            f"messages a second, {report.messages_a_task:.1f} a task, "
            f"{report.events['order_refused']} orders refused"
        )
        for kind, count in report.messages.most_common():
            print(f"    {kind:16s} {count / report.tasks:6.2f} a task")


def per_second(messages: Counter) -> int:
    """Return the number of messages per second."""
    return messages.total() * MS_PER_S // DURATION_MS


def main() -> None:
    """Print the table, with the named mechanism disabled."""
    with changed(sys.argv[1] if len(sys.argv) > 1 else ""):
        for entries, agents in SIZES:
            print_columns(entries, agents)


if __name__ == "__main__":
    main()
