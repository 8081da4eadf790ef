"""Steps on replays of loads in virtual time."""

import functools

import attrs
from behave import then, when
from load_policies import changed
from load_replay import replay
from loads import (
    competing,
    drained_zone,
    hot_rack,
    large_fleet,
    long_tasks,
    long_work,
    overload,
    steady,
    uneven,
)

LOADS = {
    "overload": overload,
    "steady": steady,
    "large fleet": large_fleet,
    # A third of the fleet and its load; of the drain only the busiest seconds.
    "long work": functools.partial(long_work, duration_ms=13_000, factor=1.3, entries=4, agents=22),
    "drained zone": functools.partial(drained_zone, duration_ms=9_500, factor=1.15),
    # A third of the fleet without long tasks, at 40% and 80% of the capacity.
    "uneven runners": functools.partial(
        uneven, duration_ms=5_000, entries=4, agents=21, long_share=0.0
    ),
    "busy uneven runners": functools.partial(
        uneven, duration_ms=5_000, factor=2.0, entries=4, agents=21, long_share=0.0
    ),
    "hot rack": functools.partial(hot_rack, duration_ms=5_000, entries=4, agents=21),
    "long tasks": long_tasks,
    "competing": competing,
    "overloaded large fleet": functools.partial(large_fleet, factor=1.6),
}
SEEDS = (1, 2)


@when('the first {seconds:d} s of the load "{name}" of seed {seed:d} are replayed twice')
def replay_twice(context, seconds, name, seed):
    load = attrs.evolve(LOADS[name](seed), duration_ms=1_000 * seconds)
    context.reports = [replay(load), replay(load)]


@then("both replays have the same result")
def same_result(context):
    first, second = context.reports
    assert first == second, (first, second)


@functools.cache
def play(name, change="", seeds=SEEDS):
    """Return the reports of a load; they are cached for other scenarios."""
    with changed(change):
        return [replay(LOADS[name](seed)) for seed in seeds]


@when('the load "{name}" of the seeds 1 and 2 is played')
def play_seeds(context, name):
    context.reports = play(name)


def mean(reports, figure):
    return sum(figure(report) for report in reports) / len(reports)


def share(report, kind):
    return report.outcomes[kind] / sum(report.outcomes.values())


@then("at least {worth:d}% of the worth is earned, and {least:d}% of any kind and size of job")
def earned(context, worth, least):
    found = mean(context.reports, lambda report: report.worth)
    worst = mean(context.reports, lambda report: report.worst_kind)
    assert found >= worth / 100 and worst >= least / 100, (found, worst)


@then("at most {late:g}% of the jobs end late, and {left:g}% are left without an answer")
def answered(context, late, left):
    found_late = mean(context.reports, lambda report: share(report, "late"))
    found_left = mean(context.reports, lambda report: share(report, "left"))
    assert found_late <= late / 100 and found_left <= left / 100, (found_late, found_left)


@when('the load "{name}" of the seeds 1 and 2 is played with and without "{mechanism}"')
def play_without(context, name, mechanism):
    context.reports = play(name)
    context.without = play(name, mechanism)


@when('the load "{name}" of the seeds 1 to {last:d} is played with and without "{mechanism}"')
def play_many_without(context, name, last, mechanism):
    seeds = tuple(range(1, last + 1))
    context.reports = play(name, seeds=seeds)
    context.without = play(name, mechanism, seeds)


FIGURES = {
    "the mark is lower": lambda report: -report.mark,
    "more of the jobs end late": lambda report: share(report, "late"),
    "more orders are refused": lambda report: report.events["order_refused"],
    "more messages go for each task": lambda report: report.messages_a_task,
    "the worst-served entry earns less": lambda report: -report.worst_entry,
    "more runs are moved": lambda report: report.events["task_straggles: moved"],
    "less is earned": lambda report: -report.worth,
    "more is refused with room": lambda report: report.refused_with_room,
    "more is refused with open room": lambda report: report.refused_with_open_room,
}


@then("{what} without it by {least:g} or more")
def worth_something(context, what, least):
    figure = FIGURES[what]
    difference = mean(context.without, figure) - mean(context.reports, figure)
    assert difference >= least, difference


@when('the load "{name}" of seed {seed:d} is played with and without "{mechanism}"')
def play_one_without(context, name, seed, mechanism):
    context.reports = [replay(LOADS[name](seed))]
    with changed(mechanism):
        context.without = [replay(LOADS[name](seed))]


@then("at most {most:g} messages go for each task")
def few_messages(context, most):
    found = mean(context.reports, lambda report: report.messages_a_task)
    assert found <= most, found


@then("the worth is no lower than without it")
def no_less_worth(context):
    worth, without = (
        mean(reports, lambda report: report.worth) for reports in (context.reports, context.without)
    )
    assert worth >= without, (worth, without)


@then("no more of the jobs end late or without an answer than without it")
def no_worse(context):
    for kind in ("late", "left", "refused", "given_up"):
        with_it = mean(context.reports, lambda report, kind=kind: share(report, kind))
        without = mean(context.without, lambda report, kind=kind: share(report, kind))
        assert with_it <= without + 0.005, (kind, with_it, without)


@then('queue "{queue}" earns no smaller share than "{other}"')
def earns_no_less(context, queue, other):
    found = mean(context.reports, lambda report: report.by_queue[queue])
    least = mean(context.reports, lambda report: report.by_queue[other])
    assert found >= least, (found, least)


@then('without it queue "{queue}" earns {least:g} less')
def queue_earns_less(context, queue, least):
    found = mean(context.reports, lambda report: report.by_queue[queue])
    without = mean(context.without, lambda report: report.by_queue[queue])
    assert found - without >= least, (found, without)


@then("the whole earns as much as without it, to {off:g}")
def whole_earns(context, off):
    found = mean(context.reports, lambda report: report.worth)
    without = mean(context.without, lambda report: report.worth)
    assert found >= without - off, (found, without)
