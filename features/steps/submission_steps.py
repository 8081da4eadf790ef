"""Steps on jobs that are submitted again, with a complete agent and owner in manual time.

Messages are kept until the scenario delivers them, so that a message can be late, or come on the
next stream.
"""

import asyncio

import resubmission_steps as base
from behave import given, then, when
from caller_deadline_steps import FakeLease, FakeLog
from core_model import ManualTimers
from platform_core_steps import JOB, OWNER, QUEUE, Effects

from gapdrum.core import orders
from gapdrum.core.dispatch import build_dispatch
from gapdrum.core.jobs import TaskPhase
from gapdrum.core.models import Resources, RunEnd, RunKey, Step
from gapdrum.core.runner_models import EndedRun, RunnerSnapshot, RunningTask
from gapdrum.entry.waiting_callers import Caller, WaitingCallers

TASKS = 2
CALLER_PAUSE_MS = base.RESUBMIT_MS
BEAT_MS = orders.BEAT_INTERVAL_MS


class ListingRunner(base.LeasedRunner):
    """Answers polls with its running tasks and the ends that are not acknowledged."""

    def __init__(self, timers):
        super().__init__(timers)
        self.ended = []
        self.last_end = 0
        self.polls = 0

    async def poll(self, until_ms, seen, _fence, _wait_ms, _timeout_ms):
        self.polls += 1
        self.renewals.append(until_ms)
        self.ended = [one for one in self.ended if one.number > seen]
        return RunnerSnapshot(self.read_clock(), self.running, tuple(self.ended))

    def end(self, key, end):
        self.running = tuple(one for one in self.running if one.run != key)
        self.last_end += 1
        self.ended.append(EndedRun(self.last_end, key, end))

    def close(self):
        """Do nothing."""


class Pair:
    """An agent with one runner, an owner, and the messages between them."""

    def __init__(self, context):
        base.new_agent(context)
        self.context = context
        self.timers: ManualTimers = context.timers
        self._use_agent(ListingRunner(self.timers))
        self.effects = Effects()
        self.dispatch = build_dispatch(
            "plaine-nord", self.effects, lambda: True, self.timers.now_ms()
        )
        self.callers = WaitingCallers(self.dispatch, FakeLease(), self.timers, FakeLog())
        self.effects.job_ended = self._end_job
        self.ended = []
        self.view = None

    def _use_agent(self, runner):
        context = self.context
        self.agent, self.link = context.agent, context.link
        context.runner = context.controller._context.calls = runner
        context.controller.ledger.upstream = QUEUE.upstream

    def restart_agent(self):
        """Replace the agent by its next incarnation, which finds the same runner."""
        runner, time_ms = self.context.runner, self.timers.time_ms
        base.new_agent(self.context)
        self.timers = self.callers._timers = self.context.timers
        self.timers.time_ms = time_ms
        runner.read_clock = self.timers.now_ms
        self._use_agent(runner)
        self.poll()  # the first call only reads the runner's clock
        self.poll()

    def replace_runner(self):
        """End the runner's incarnation; the agent finds the next one at the same address."""
        former = self.context.controller
        former.set_gone("replaced")
        asyncio.run(self.agent.runners._run_controller(former))
        base.add_controller(self.context, "i-2", ListingRunner(self.timers))
        self.context.controller.ledger.upstream = QUEUE.upstream
        self.poll()
        self.poll()

    def _end_job(self, job):
        self.ended.append(job.ending)

    # Streams.

    def join(self, owner=OWNER, former_owners=()):
        """Open a stream between the agent and the owner."""
        greeting = self.agent._greet()
        self.view = self.dispatch.fleet.agent_joined(greeting, self.timers.now_ms())
        self.link.stream = base.FakeStream()
        self.agent.links._greeted(self.link, owner, former_owners)
        self.echo()

    def part(self):
        """End the stream; messages under way are lost."""
        self.agent.links._end_stream(self.link)
        self.dispatch.fleet.agent_stream_ended(self.view)
        self.effects.sent.clear()

    def echo(self):
        now_ms = self.timers.now_ms()
        self.view.heard_ms = self.view.clock_ms = now_ms
        self.agent.orders.take(self.link, orders.BeatEcho(now_ms, True, False))

    def drain_sent(self):
        """Remove and return what the agent has sent on its present stream."""
        messages = list(self.link.stream.sent)
        self.link.stream.sent.clear()
        return messages

    def deliver(self, messages):
        """Deliver messages of the agent to the owner."""
        handlers = {
            orders.RunEvents: self.dispatch.apply_events,
            orders.Holdings: self.dispatch.apply_holdings,
            orders.RunnerReport: self.dispatch.apply_report,
        }
        for message in messages:
            if type(message) in handlers:
                handlers[type(message)](self.view, message, self.timers.now_ms())
            elif isinstance(message, orders.RoomReport):
                self.dispatch.apply_room(self.view, message)

    def deliver_to_owner(self):
        """Deliver what the agent has sent to the owner."""
        self.agent.notifier.send_room()
        self.deliver(self.drain_sent())

    def deliver_to_agent(self):
        """Place waiting tasks, and deliver what the owner has sent; return the start orders."""
        self.dispatch.placer.place_waiting(self.timers.now_ms())
        sent = [one for one in self.effects.sent if not isinstance(one, tuple)]
        self.effects.sent.clear()
        for message in sent:
            self.agent.orders.take(self.link, message)
        return [message for message in sent if isinstance(message, orders.StartOrder)]

    def poll(self):
        """Let the agent poll its runner once."""
        base.step(self.context)

    def pass_time(self, time_ms):
        """Let time pass, with an echo, a poll and a delivery every ``BEAT_MS``."""
        for _ in range(0, time_ms, BEAT_MS):
            self.timers.time_ms += BEAT_MS
            self.echo()
            self.poll()
            self.deliver_to_owner()

    # Callers.

    def submit(self, tasks=TASKS):
        """Let a caller submit the job; return its tasks."""
        caller = Caller(asyncio.Future(loop=asyncio.new_event_loop()), self.timers.now_ms())
        steps = (Step(tasks, Resources(500, 10, 0), 900),)
        self.callers._begin(JOB, QUEUE, "{}", steps, caller)
        return self.dispatch.jobs[JOB].tasks

    def leave(self):
        """Let the caller leave: its runs are stopped, and the job is dropped."""
        self.callers._leave(JOB, asyncio.Future(loop=asyncio.new_event_loop()))

    def start_all(self):
        """Order the waiting tasks, and let the runner report them as running; return their keys."""
        keys = [order.key_of(row) for order in self.deliver_to_agent() for row in order.runs]
        for run in self.context.runs:
            run.calling = False
        self.context.runner.running += tuple(RunningTask(key, 5) for key in keys)
        self.poll()
        self.deliver_to_owner()
        return keys


@given("an owner and an agent with one runner, joined by a stream")
def new_pair(context):
    context.pair = pair = Pair(context)
    pair.join()
    pair.poll()
    pair.poll()
    pair.deliver_to_owner()


@given("a job of a waiting caller that is at work there")
def job_at_work(context):
    context.pair.submit()
    context.keys = context.pair.start_all()
    assert len(context.keys) == TASKS, context.keys


@when('one of its tasks ends as "{end}", and its caller leaves')
def one_ends(context, end):
    pair, runner = context.pair, context.runner
    first, *others = context.keys
    runner.end(first, RunEnd(end))
    pair.poll()
    pair.deliver_to_owner()
    pair.leave()
    pair.deliver_to_agent()
    for key in others:
        runner.end(key, RunEnd.STOPPED)
    pair.poll()
    pair.deliver_to_owner()


@when("the caller submits the job again after its pause, and all its tasks are at work there again")
def submitted_again(context):
    pair = context.pair
    pair.pass_time(CALLER_PAUSE_MS)
    context.tasks = pair.submit()
    again = pair.start_all()
    assert again == [RunKey(task.name, 1) for task in context.tasks], again


@when("the stream is replaced")
def stream_replaced(context):
    pair = context.pair
    pair.part()
    pair.timers.time_ms += 200
    pair.join()
    context.told = pair.drain_sent()
    pair.deliver(context.told)
    context.ordered = pair.deliver_to_agent()


@then("no task is started beside its run that is at work")
def nothing_beside(context):
    started = [order.key_of(row) for order in context.ordered for row in order.runs]
    assert not started, started


@then("the job has not ended, and no task counts as done or failed")
def nothing_counted(context):
    assert not context.pair.ended, context.pair.ended
    phases = {task.phase for task in context.tasks}
    assert TaskPhase.DONE not in phases, phases
    assert not any(task.failed_attempts for task in context.tasks)


@then("the agent has reported each run once")
def told_once(context):
    held = [row for one in context.told if isinstance(one, orders.Holdings) for row in one.runs]
    names = [(row.task, row.attempt) for row in held]
    assert sorted(names) == sorted(set(names)), held


def end_all(context, keys, end):
    """Let runs end, and the agent see it; the owner is not notified yet."""
    for key in keys:
        context.runner.end(key, end)
    context.pair.poll()


@when("a job of a waiting caller is {fate} there, and the messages about it are delayed")
def told_late(context, fate):
    pair = context.pair
    pair.submit()
    if fate == "refused":
        context.controller.set_zone_closed(True)
        assert pair.deliver_to_agent()
        context.controller.set_zone_closed(False)
    else:
        keys = pair.start_all()
        if fate == "lost":
            settled = list(context.controller.ledger.runs.values())
            lost = context.controller.ledger.lose(settled, orders.LEASE_LAPSED)
            pair.agent.notifier.report(context.controller, lost)
            context.runner.running = ()
        else:
            end_all(context, keys, RunEnd(fate.removeprefix("ended as ")))
    context.delayed = [one for one in pair.drain_sent() if isinstance(one, orders.RunEvents)]
    assert context.delayed


@when("the caller leaves, and submits it again after its pause")
def left_and_back(context):
    pair = context.pair
    pair.leave()
    pair.deliver_to_agent()
    pair.pass_time(CALLER_PAUSE_MS)
    context.tasks = pair.submit()
    assert len(pair.start_all()) == TASKS


@when("the delayed messages arrive")
def delayed_arrive(context):
    context.pair.deliver(context.delayed)
    context.ordered = context.pair.deliver_to_agent()


@when('the runner rejects a start, and a restarted agent finds an end under its name as "{end}"')
def rejected_and_found(context, end):
    pair = context.pair
    context.tasks = pair.dispatch.jobs[JOB].tasks
    name, attempt = context.tasks[0].name.text, context.tasks[0].attempt
    rejected = orders.RunEvent(
        name, attempt, 1, orders.NOT_STARTED, orders.RUNNER_REJECTED, durable=False
    )
    found = orders.HeldRun(name, attempt, 0, orders.HELD_ENDED, end, 7)
    pair.deliver([orders.RunEvents("i-1", (rejected,))])
    pair.dispatch.placer.place_waiting(pair.timers.now_ms())
    rows = (*context.controller.ledger.held_runs(), found)
    pair.deliver([orders.Holdings("i-1", (), rows)])


@when("an agent whose incarnation began {when} the order reports an end that it has found")
def found_end(context, when):
    pair = context.pair
    if when == "after":
        pair.part()
        pair.agent.incarnation = "next-life"
        pair.join()
    name = context.keys[0].task.text
    event = orders.RunEvent(name, 1, 0, orders.ENDED, RunEnd.DONE.value, 7)
    pair.deliver([orders.RunEvents("i-1", (event,))])


@then("{count:d} of the job's tasks count as done")
def done_tasks(context, count):
    tasks = context.pair.dispatch.jobs[JOB].tasks
    assert sum(task.phase is TaskPhase.DONE for task in tasks) == count, tasks
