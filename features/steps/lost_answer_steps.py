"""Steps on a runner whose answers get lost, in virtual time."""

import asyncio
import itertools
import selectors
from functools import partial

from behave import given, then, when
from platform_core_steps import BOUNDS, JOB, OWNER, new_log

from gapdrum.agent.grants import Grants
from gapdrum.agent.runner_controller import RunnerController
from gapdrum.core import orders
from gapdrum.core.endpoints import Endpoint
from gapdrum.core.models import Resources, RunEnd, RunKey, TaskName
from gapdrum.core.poll_schedule import PollSchedule
from gapdrum.core.runner_ledger import Run
from gapdrum.core.runner_models import EndedRun, RunnerSnapshot, RunningTask
from gapdrum.platform.runner_calls import RunnerReplacedError
from gapdrum.transport.http_client import TimedOutError

ANSWER_MS = 2
BEGIN_MS = 1_000
ROOM = Resources(500, 10, 0)


class VirtualSelector(selectors.SelectSelector):
    """Advances virtual time by each wait instead of waiting."""

    time_s = BEGIN_MS / 1_000

    def select(self, timeout=None):
        self.time_s += timeout or 0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop and a timer service in virtual time."""

    def __init__(self):
        self.selector = VirtualSelector()
        super().__init__(self.selector)

    def time(self):
        return self.selector.time_s

    def now_ms(self):
        return round(self.selector.time_s * 1_000)

    monotonic_ms = wall_ms = now_ms

    def call_after(self, delay_ms, callback):
        return self.call_later(max(0, delay_ms) / 1_000, callback)


class LosingRunner:
    """Holds runs that end at given times, and loses the answers that ``is_lost`` selects."""

    def __init__(self, loop, is_lost):
        self.loop = loop
        self.is_lost = is_lost
        self.answers = itertools.count(1)
        self.ends = []  # (time, run), in order of time
        self.begun = {}  # when each run began
        self.polls = []  # when each began
        self.renewals = []  # the ends of the leases; the runner's clock is the agent's
        self.starts = 0
        self.lose_starts = False
        self.replaced = False
        self.late_ms = 0  # delay of every other answer
        self.pending = self.max_pending = 0
        self.last_answer_ms = 0

    def run(self, number, begin_ms, end_ms):
        key = RunKey(TaskName(JOB, 0, 0, number), 1)
        self.begun[key] = begin_ms
        self.ends.append((end_ms, key))
        return key

    def snapshot(self, seen):
        now_ms = self.loop.now_ms()
        ended = [key for end_ms, key in self.ends if end_ms <= now_ms]
        rows = [EndedRun(n, key, RunEnd.DONE) for n, key in enumerate(ended, 1) if n > seen]
        running = [
            RunningTask(key, 50)
            for key, begin_ms in self.begun.items()
            if begin_ms <= now_ms and key not in ended
        ]
        return RunnerSnapshot(now_ms, tuple(running), tuple(rows))

    async def poll(self, until_ms, seen, fence, wait_ms, timeout_ms):
        began_ms = self.loop.now_ms()
        if fence:
            self.polls.append(began_ms)
            self.renewals.append(until_ms)
        self.pending += 1
        self.max_pending = max(self.pending, self.max_pending)
        try:
            return await self.answer(seen, began_ms, wait_ms, timeout_ms)
        finally:
            self.pending -= 1

    async def answer(self, seen, began_ms, wait_ms, timeout_ms):
        later = [end_ms for end_ms, _ in self.ends[seen:]]
        until_ms = min([began_ms + wait_ms, *later])
        await asyncio.sleep(max(0, until_ms - began_ms) / 1_000)
        if self.replaced:
            raise RunnerReplacedError("another incarnation")
        answer = self.snapshot(seen)
        number = next(self.answers)
        if self.is_lost(number):
            await asyncio.sleep((began_ms + timeout_ms - self.loop.now_ms()) / 1_000)
            raise TimedOutError("lost")
        await asyncio.sleep((ANSWER_MS + self.late_ms * (number % 2)) / 1_000)
        self.last_answer_ms = self.loop.now_ms()
        return answer

    async def start(self, run, _spec, _expires_ms, _fence, timeout_ms):
        self.starts += 1
        self.begun.setdefault(run, self.loop.now_ms())
        await asyncio.sleep(timeout_ms / 1_000)
        raise TimedOutError("lost")

    async def stop(self, _run, _fence, _timeout_ms):
        return self.loop.now_ms()

    def close(self):
        """Do nothing."""


def new_controller(context, is_lost):
    context.loop = loop = VirtualLoop()
    context.add_cleanup(loop.close)
    context.events = []  # (when, run, event)
    context.room = []  # (when, whether there is any)

    def report(controller, events):
        context.events.extend((loop.now_ms(), run, event) for run, event in events)
        context.room.append((loop.now_ms(), controller.ledger.free.cpu_milli > 0))

    context.grants = Grants(BOUNDS)
    context.controller = RunnerController(
        "i-1", Endpoint("127.0.0.1", 1), context.grants, 1_000, loop, new_log(loop), report,
        lambda controller: report(controller, []),
    )  # fmt: skip
    context.controller.ledger.capacity = Resources(100_000, 10_000, 0)
    context.runner = LosingRunner(loop, is_lost)
    context.controller._context.calls = context.runner


@given("a controller of a runner that loses every fourth answer")
def loses_fourth(context):
    new_controller(context, lambda number: number % 4 == 0)


def add_owner(context, confirms_after_ms):
    """Withhold ends until the owner confirms each after a time; None for a silent owner."""
    loop, controller = context.loop, context.controller
    report = controller._context.report

    def report_and_withhold(events):
        report(events)
        numbers = [event.end_number for _, event in events if event.kind == orders.ENDED]
        controller.withhold_ends(numbers)
        for number in numbers if confirms_after_ms is not None else ():
            loop.call_after(confirms_after_ms, partial(controller.release_end, number))

    controller._context.report = report_and_withhold


@given(
    "a controller of a runner that loses no answer, and an owner that confirms ends after "
    "{time_ms:d} ms"
)
def confirmed_after(context, time_ms):
    loses_none(context)
    add_owner(context, time_ms)


@given("a controller of a runner that loses no answer, and an owner that confirms nothing")
def confirmed_never(context):
    loses_none(context)
    add_owner(context, None)


@given(
    "a controller of a runner that loses every fourth answer, and an owner that confirms ends "
    "after {time_ms:d} ms"
)
def lossy_confirmed_after(context, time_ms):
    loses_fourth(context)
    add_owner(context, time_ms)


@then("the runner was told to forget each end")
def all_forgotten(context):
    assert context.controller.ledger.acknowledged_end == len(context.runner.ends)


@given("a controller of a runner that loses every second answer")
def loses_second(context):
    new_controller(context, lambda number: number > 2 and number % 2 == 0)


@given("a controller of a runner that loses no answer")
def loses_none(context):
    new_controller(context, lambda number: False)


@given("a controller of a runner that loses its third answer only")
def loses_third(context):
    new_controller(context, lambda number: number == 3)


@given("a controller of a runner that loses all answers from its third on")
def loses_all(context):
    new_controller(context, lambda number: number >= 3)
    add_run(context, 0, BEGIN_MS, 60_000)


@given("a controller of a runner that answers every other poll 20 ms late, and has lost an answer")
def answers_late(context):
    new_controller(context, lambda number: False)
    context.runner.late_ms = 20
    context.controller._context.schedule.record_lost_answer(BEGIN_MS)


def add_run(context, number, begin_ms, end_ms):
    key = context.runner.run(number, begin_ms, end_ms)
    run = Run(key, OWNER, 1, ROOM, 0, begin_ms, phase=orders.HELD_RUNNING, durable=False)
    context.controller.ledger.begin(run)
    return key


def play(context, time_ms, *also):
    """Run the controller for some time, while the owner echoes, unless it is silent."""

    async def keep():
        tasks = [asyncio.create_task(one) for one in (context.controller.keep(), *also)]
        for _ in range(time_ms // 50):
            if not getattr(context, "silent", False):
                context.grants.note(OWNER, context.loop.now_ms(), True)
            await asyncio.sleep(0.05)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
        context.failures = [one for one in outcomes if isinstance(one, Exception)]
        assert not context.failures, context.failures

    context.loop.run_until_complete(keep())


@when("{count:d} runs of 110 ms end there one after the other")
def runs_end(context, count):
    for number in range(count):
        add_run(context, number, BEGIN_MS + 37 * number, BEGIN_MS + 37 * number + 110)
    play(context, 37 * count + 700)


@when("the controller runs for {time_ms:d} ms")
def time_passes(context, time_ms):
    play(context, time_ms)


def delays(context):
    """Return the delay with which each end was seen, in order of the ends."""
    ends = {key: end_ms for end_ms, key in context.runner.ends}
    seen = {
        run.key: at_ms - ends[run.key]
        for at_ms, run, event in context.events
        if event.kind == orders.ENDED
    }
    return [seen.get(key, 10_000) for _, key in context.runner.ends]


@then(
    "at least {least:d} of {count:d} ends are seen within {time_ms:d} ms, and all within "
    "{limit_ms:d} ms"
)
def seen_within(context, least, count, time_ms, limit_ms):
    late = delays(context)
    assert len(late) == count
    assert sum(delay <= time_ms for delay in late) >= least, sorted(late)
    assert max(late) <= limit_ms, sorted(late)


@then("of the last {count:d} ends all are seen within {time_ms:d} ms")
def last_seen_within(context, count, time_ms):
    late = delays(context)[-count:]
    assert max(late) <= time_ms, sorted(late)


@then("its room was never reported as zero")
def room_never_zero(context):
    assert all(some for _, some in context.room), context.room


@then("at most {count:d} polls were pending at once")
def pending_at_once(context, count):
    assert context.runner.max_pending <= count, context.runner.max_pending


@then("there was at most 1 poll for each end, and 5 more each second")
def polls_for_ends(context):
    spent_s = (context.loop.now_ms() - BEGIN_MS) / 1_000
    limit = len(context.runner.ends) + 5 * spent_s + 2
    assert len(context.runner.polls) <= limit, (len(context.runner.polls), limit)


@then("in the last {time_ms:d} ms it was polled at most {count:d} times")
def polled_lately(context, time_ms, count):
    since_ms = context.loop.now_ms() - time_ms
    lately = [one for one in context.runner.polls if one >= since_ms]
    assert len(lately) <= count, lately


@then("its room was reported as zero within {time_ms:d} ms after its last answer")
def room_reported_zero(context, time_ms):
    gone_ms = next(at_ms for at_ms, some in context.room if not some)
    assert gone_ms <= context.runner.last_answer_ms + time_ms, (gone_ms, context.room)


@when("the answer to a start is lost 50 ms after a poll began")
def start_lost(context):
    async def start():
        await asyncio.sleep(0.25)
        row = orders.OrderedRun(0, 0, 1, 500, 10, 0, 100)
        clock_ms = context.loop.now_ms()
        order = orders.StartOrder("i-1", JOB, 1, "{}", clock_ms, False, (row,))
        assert not context.controller.starts.order(OWNER, order, clock_ms)
        await asyncio.sleep(0.119)
        context.unanswered_ms = context.loop.now_ms() + 1

    context.grants.note(OWNER, context.loop.now_ms(), True)
    play(context, 800, start())


@then("the run is seen at work {time_ms:d} ms later at most")
def seen_at_work(context, time_ms):
    (started_ms,) = [at_ms for at_ms, _, event in context.events if event.kind == orders.STARTED]
    assert started_ms <= context.unanswered_ms + time_ms + ANSWER_MS, started_ms


@then("the start is not sent again")
def start_not_repeated(context):
    assert context.runner.starts == 1, context.runner.starts


@given("two pending polls, the newer of which is answered first")
def newer_used(context):
    context.schedule = schedule = PollSchedule()
    schedule.record_lost_answer(0)
    context.older, context.newer = schedule.begin(200, 0), schedule.begin(200, 25)
    assert schedule.accept_snapshot(context.newer.number, 40)


@when("the older one, whose snapshot is not newer, is answered")
def older_comes(context):
    context.news = [
        context.schedule.accept_snapshot(context.older.number, clock) for clock in (39, 40)
    ]


@then("the older snapshot is ignored")
def older_ignored(context):
    assert context.news == [False, False]


@then("a snapshot of a poll that began after both is used, whatever its clock")
def later_used(context):
    later = context.schedule.begin(200, 50)
    assert context.schedule.accept_snapshot(later.number, 40)


@then("each end is reported once, and no run is left there")
def reported_once(context):
    ended = [run.key for _, run, event in context.events if event.kind == orders.ENDED]
    assert ended == [key for _, key in context.runner.ends], ended
    assert context.runner.max_pending > 1
    assert not context.controller.ledger.runs, context.controller.ledger.runs


@when("its owner sends no echo for {time_ms:d} ms")
def owner_silent(context, time_ms):
    add_run(context, 0, BEGIN_MS, 60_000)
    play(context, 1_000)
    context.silent = True
    context.last_echo_ms = context.grants.last_echo_ms(OWNER, False)
    play(context, time_ms)


@then("no lease was asked for beyond {time_ms:d} ms after the owner's last echo")
def lease_bounded(context, time_ms):
    latest_ms = max(context.runner.renewals)
    assert latest_ms <= context.last_echo_ms + time_ms, (latest_ms, context.last_echo_ms)
    assert latest_ms > context.last_echo_ms, "nothing was renewed"


@when("another incarnation answers after {time_ms:d} ms")
def replaced(context, time_ms):
    add_run(context, 0, BEGIN_MS, 60_000)
    play(context, time_ms)
    context.runner.replaced = True
    play(context, 500)


@then("its runs are reported as lost once")
def lost_once(context):
    lost = [event for _, _, event in context.events if event.kind == orders.LOST]
    assert [event.detail for event in lost] == [orders.RUNNER_GONE], lost
    assert context.controller.ledger.gone
