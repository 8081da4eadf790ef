"""Steps on links that delay every message, with a complete agent and owner in manual time."""

import resubmission_steps as base
from behave import then, when
from late_claim_steps import NEXT_INCARNATION
from platform_core_steps import OWNER

from gapdrum.agent.entry_links import RETRY_INTERVAL_MS
from gapdrum.core import orders
from gapdrum.core.runner_models import RunningTask

POLL_MS = 10
PROGRESS_MS = 100
CALM_MS = 1_000
AFTER_MS = 1_500


class DelayedLink:
    """Delivers the messages between the agent and the owner of a pair ``delay_ms`` late."""

    def __init__(self, pair, delay_ms):
        self.pair = pair
        self.delay_ms = delay_ms
        self.to_owner = []
        self.to_agent = []
        self.heartbeats = False

    def run(self, time_ms):
        """Let time pass in steps of a millisecond."""
        for _ in range(time_ms):
            self.step()

    def step(self):
        pair, timers = self.pair, self.pair.timers
        timers.time_ms += 1
        if self.heartbeats and timers.time_ms % orders.BEAT_INTERVAL_MS == 0:
            pair.link.send(orders.AgentBeat(timers.time_ms))
        if timers.time_ms % PROGRESS_MS == 0:
            runner = pair.context.runner
            runner.running = tuple(RunningTask(one.run, one.percent + 1) for one in runner.running)
        if timers.time_ms % POLL_MS == 0:
            pair.poll()
        self._deliver()
        self._collect()

    def _collect(self):
        """Put on the link what both sides have sent."""
        due_ms = self.pair.timers.time_ms + self.delay_ms
        if self.pair.link.stream is not None:
            self.to_owner += [(due_ms, one) for one in self.pair.drain_sent()]
        effects = self.pair.effects
        sent = [one for one in effects.sent if not isinstance(one, tuple)]
        effects.sent.clear()
        self.to_agent += [(due_ms, one) for one in sent]

    def _deliver(self):
        now_ms = self.pair.timers.time_ms
        arrived, self.to_owner = split_due(self.to_owner, now_ms)
        for message in arrived:
            self._receive_at_owner(message)
        arrived, self.to_agent = split_due(self.to_agent, now_ms)
        for message in arrived:
            self._receive_at_agent(message)

    def _receive_at_owner(self, message):
        pair = self.pair
        if isinstance(message, orders.AgentGreeting):
            pair.view = pair.dispatch.fleet.agent_joined(message, pair.timers.now_ms())
            pair.effects.sent.append(orders.EntryGreeting(NEXT_INCARNATION, (OWNER,)))
            pair.effects.sent.append(orders.BeatEcho(message.clock_ms, True, False))
        elif isinstance(message, orders.AgentBeat):
            pair.view.heard_ms, pair.view.clock_ms = pair.timers.now_ms(), message.clock_ms
            pair.effects.sent.append(orders.BeatEcho(message.clock_ms, True, False))
        else:
            pair.deliver([message])

    def _receive_at_agent(self, message):
        pair = self.pair
        if isinstance(message, orders.EntryGreeting):
            pair.agent.links._greeted(pair.link, message.owner, message.former_owners)
        else:
            pair.agent.orders.take(pair.link, message)

    def fail(self):
        """Reset the stream; messages under way are lost."""
        self.pair.part()
        self.to_owner.clear()
        self.to_agent.clear()

    def connect(self):
        """Open a connection, which takes a round trip, and greet the owner."""
        self.run(2 * self.delay_ms)
        pair = self.pair
        pair.link.stream = base.FakeStream()
        pair.link.stream.send(pair.agent._greet())


def split_due(queue, now_ms):
    due = [message for due_ms, message in queue if due_ms <= now_ms]
    return due, [row for row in queue if row[0] > now_ms]


@when(
    "its stream delays all by {delay_ms:d} ms, fails just before an echo comes, and the entry "
    "joins under another name"
)
def fails_before_echo(context, delay_ms):
    link = DelayedLink(context.pair, delay_ms)
    context.pair.timers.time_ms -= context.pair.timers.time_ms % orders.BEAT_INTERVAL_MS
    link.heartbeats = True
    link.run(CALM_MS)
    echo_due_ms = 2 * delay_ms % orders.BEAT_INTERVAL_MS
    link.run(echo_due_ms + orders.BEAT_INTERVAL_MS - 1)
    link.fail()
    link.run(RETRY_INTERVAL_MS)
    link.connect()
    link.run(AFTER_MS)


@then("the runs go on, and have never been stopped")
def never_stopped(context):
    assert not context.stops, context.stops[:3]
    assert {run.claimed for run in context.controller.ledger.runs.values()} == {True}


@then("the runs have been stopped")
def have_been_stopped(context):
    assert context.stops
