"""Steps on a runner whose answers get lost, in virtual time."""

import asyncio
import itertools
import selectors

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


class LeapingSelector(selectors.SelectSelector):
    """Lets the time that would be waited for pass at once."""

    time_s = BEGIN_MS / 1_000

    def select(self, timeout=None):
        self.time_s += timeout or 0
        return super().select(0)


class LeapingLoop(asyncio.SelectorEventLoop):
    """A loop, and a timer service, in virtual time."""

    def __init__(self):
        self.selector = LeapingSelector()
        super().__init__(self.selector)

    def time(self):
        return self.selector.time_s

    def now_ms(self):
        return round(self.selector.time_s * 1_000)

    awake_ms = wall_ms = now_ms

    def call_after(self, delay_ms, callback):
        return self.call_later(max(0, delay_ms) / 1_000, callback)


class LosingRunner:
    """Holds runs that end at given times, and loses answers as it is told."""

    def __init__(self, loop, is_lost):
        self.loop = loop
        self.is_lost = is_lost
        self.answers = itertools.count(1)
        self.ends = []  # (time, run), in the order of time
        self.begun = {}  # run: since when
        self.looks = []  # when each began
        self.renewals = []  # until when, on its clock, which is ours
        self.starts = 0
        self.lose_starts = False
        self.replaced = False
        self.late_ms = 0  # of every other answer
        self.under_way = self.most_under_way = 0
        self.last_answer_ms = 0

    def run(self, number, begin_ms, end_ms):
        key = RunKey(TaskName(JOB, 0, 0, number), 1)
        self.begun[key] = begin_ms
        self.ends.append((end_ms, key))
        return key

    def picture(self, seen):
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
            self.looks.append(began_ms)
            self.renewals.append(until_ms)
        self.under_way += 1
        self.most_under_way = max(self.under_way, self.most_under_way)
        try:
            return await self.answer(seen, began_ms, wait_ms, timeout_ms)
        finally:
            self.under_way -= 1

    async def answer(self, seen, began_ms, wait_ms, timeout_ms):
        later = [end_ms for end_ms, _ in self.ends[seen:]]
        until_ms = min([began_ms + wait_ms, *later])
        await asyncio.sleep(max(0, until_ms - began_ms) / 1_000)
        if self.replaced:
            raise RunnerReplacedError("another incarnation")
        shown = self.picture(seen)
        number = next(self.answers)
        if self.is_lost(number):
            await asyncio.sleep((began_ms + timeout_ms - self.loop.now_ms()) / 1_000)
            raise TimedOutError("lost")
        await asyncio.sleep((ANSWER_MS + self.late_ms * (number % 2)) / 1_000)
        self.last_answer_ms = self.loop.now_ms()
        return shown

    async def start(self, run, _spec, _expires_ms, _fence, timeout_ms):
        self.starts += 1
        self.begun.setdefault(run, self.loop.now_ms())
        await asyncio.sleep(timeout_ms / 1_000)
        raise TimedOutError("lost")

    async def stop(self, _run, _fence, _timeout_ms):
        return self.loop.now_ms()

    def close(self):
        """End nothing."""


def new_keeper(context, is_lost):
    context.loop = loop = LeapingLoop()
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


@given("a keeper of a runner that loses every fourth answer")
def loses_fourth(context):
    new_keeper(context, lambda number: number % 4 == 0)


@given("a keeper of a runner that loses every second answer")
def loses_second(context):
    new_keeper(context, lambda number: number > 2 and number % 2 == 0)


@given("a keeper of a runner that loses no answer")
def loses_none(context):
    new_keeper(context, lambda number: False)


@given("a keeper of a runner that loses its third answer only")
def loses_third(context):
    new_keeper(context, lambda number: number == 3)


@given("a keeper of a runner that loses all answers from its third on")
def loses_all(context):
    new_keeper(context, lambda number: number >= 3)
    add_run(context, 0, BEGIN_MS, 60_000)


@given("a keeper of a runner that answers every other look 20 ms late, and has lost an answer")
def answers_late(context):
    new_keeper(context, lambda number: False)
    context.runner.late_ms = 20
    context.controller._context.schedule.record_lost_answer(BEGIN_MS)


def add_run(context, number, begin_ms, end_ms):
    key = context.runner.run(number, begin_ms, end_ms)
    run = Run(key, OWNER, 1, ROOM, 0, begin_ms, phase=orders.HELD_RUNNING, durable=False)
    context.controller.ledger.begin(run)
    return key


def play(context, time_ms, *also):
    """Let the keeper look for some time, with the owner heard all the while."""

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


@when("it is kept for {time_ms:d} ms")
def time_passes(context, time_ms):
    play(context, time_ms)


def delays(context):
    """Return how much later than it came each end was seen, in their order."""
    ends = {key: end_ms for end_ms, key in context.runner.ends}
    seen = {
        run.key: at_ms - ends[run.key]
        for at_ms, run, event in context.events
        if event.kind == orders.ENDED
    }
    return [seen.get(key, 10_000) for _, key in context.runner.ends]


@then(
    "at least {most:d} of {count:d} ends are seen within {time_ms:d} ms, and all within "
    "{limit_ms:d} ms"
)
def seen_within(context, most, count, time_ms, limit_ms):
    late = delays(context)
    assert len(late) == count
    assert sum(delay <= time_ms for delay in late) >= most, sorted(late)
    assert max(late) <= limit_ms, sorted(late)


@then("of the last {count:d} ends all are seen within {time_ms:d} ms")
def last_seen_within(context, count, time_ms):
    late = delays(context)[-count:]
    assert max(late) <= time_ms, sorted(late)


@then("its room was never taken away")
def room_kept(context):
    assert all(some for _, some in context.room), context.room


@then("at most {count:d} looks were under way at once")
def under_way_at_once(context, count):
    assert context.runner.most_under_way <= count, context.runner.most_under_way


@then("there was at most 1 look for each end, and 5 more each second")
def looks_for_ends(context):
    spent_s = (context.loop.now_ms() - BEGIN_MS) / 1_000
    limit = len(context.runner.ends) + 5 * spent_s + 2
    assert len(context.runner.looks) <= limit, (len(context.runner.looks), limit)


@then("in the last {time_ms:d} ms it was looked at at most {count:d} times")
def looked_at_lately(context, time_ms, count):
    since_ms = context.loop.now_ms() - time_ms
    lately = [one for one in context.runner.looks if one >= since_ms]
    assert len(lately) <= count, lately


@then("its room was taken away within {time_ms:d} ms after its last answer")
def room_taken(context, time_ms):
    gone_ms = next(at_ms for at_ms, some in context.room if not some)
    assert gone_ms <= context.runner.last_answer_ms + time_ms, (gone_ms, context.room)


@when("50 ms after a look began the answer of a start is lost")
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


@given("two looks under way, the newer of which is answered first")
def newer_taken(context):
    context.schedule = schedule = PollSchedule()
    schedule.record_lost_answer(0)
    context.older, context.newer = schedule.begin(200, 0), schedule.begin(200, 25)
    assert schedule.is_news(context.newer.number, 40)


@when("the older one, whose picture is not newer, is answered")
def older_comes(context):
    context.news = [context.schedule.is_news(context.older.number, clock) for clock in (39, 40)]


@then("the older look is passed over")
def older_passed_over(context):
    assert context.news == [False, False]


@then("a look that began after both is taken, whatever its clock")
def later_taken(context):
    later = context.schedule.begin(200, 50)
    assert context.schedule.is_news(later.number, 40)


@then("each end is told once, and nothing is left there")
def told_once(context):
    ended = [run.key for _, run, event in context.events if event.kind == orders.ENDED]
    assert ended == [key for _, key in context.runner.ends], ended
    assert context.runner.most_under_way > 1
    assert not context.controller.ledger.runs, context.controller.ledger.runs


@when("its owner falls silent for {time_ms:d} ms")
def owner_silent(context, time_ms):
    add_run(context, 0, BEGIN_MS, 60_000)
    play(context, 1_000)
    context.silent = True
    context.last_echo_ms = context.grants.last_echo_ms(OWNER, False)
    play(context, time_ms)


@then("no lease was asked for beyond {time_ms:d} ms after the owner's last word")
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


@then("its runs are told as lost once")
def lost_once(context):
    lost = [event for _, _, event in context.events if event.kind == orders.LOST]
    assert [event.detail for event in lost] == [orders.RUNNER_GONE], lost
    assert context.controller.ledger.gone
