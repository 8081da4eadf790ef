"""Steps on a task that crashes each runner that starts it."""

from behave import then, when

from gapdrum.core import orders


@when("each runner at which it is started crashes, {count:d} of them one after the other")
def runners_crash(context, count):
    context.starts = 1  # the start when the job was added
    runner = "i-1"
    for number in range(2, count + 1):
        state = orders.RunnerReport(runner, "inspect-desk", orders.GONE, (), 0, 0, 0)
        (task,) = context.job.tasks
        began = orders.RunEvent(task.name.text, task.attempt, 1, orders.STARTED)
        context.dispatch.apply_events(
            context.view, orders.RunEvents(runner, (began,)), context.now_ms
        )
        context.dispatch.apply_report(context.view, state, context.now_ms)
        runner = f"i-{number}"
        add_runner(context, runner)
        context.outside.sent.clear()
        context.dispatch.placer.place_waiting(context.now_ms)
        context.starts += sum(isinstance(one, orders.StartOrder) for one in context.outside.sent)


def add_runner(context, runner):
    report = orders.RunnerReport(runner, "inspect-desk", orders.READY, (), 4_000, 4_000, 0)
    context.dispatch.apply_report(context.view, report, context.now_ms)
    context.dispatch.apply_room(context.view, orders.RoomReport(runner, 4_000, 4_000, 0, 0, 0))
    context.dispatch.apply_holdings(context.view, orders.Holdings(runner, (), ()), context.now_ms)


@then("it has been started {count:d} times at most")
def started_at_most(context, count):
    assert context.starts <= count, context.starts
