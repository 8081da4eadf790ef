Feature: a waiting caller submits its job again, and no task of it runs twice at the same time
  A job whose caller waits is not durable. When the caller's connection breaks, the caller submits
  the job again after a stated pause, at any entry. That entry does not know the job, so all runs of
  an earlier submission must be over by then.

  Scenario: entries and agents are killed together, and agents are back before leases lapse
    Given a platform with 2 entries and 2 agents
    When the waiting job "00000000000000a1" of 8 tasks of 4000 ms is on its way at entry 0
    And 8 tasks have started
    And all entries and agents are killed just after a renewal, and start again after 100 ms and 660 ms
    And the caller submits the job again at entry 1, as soon as it may
    Then no task ran twice at the same time

  # Guards against a grant as long as the caller's pause. Agents acted for a silent entry for 1,300 ms
  # after its last echo and noticed the end up to 200 ms later, at the next poll; a caller submits its
  # job again 1,300 ms after its connection broke. In six trials, agents stopped the runs 1,164 to
  # 1,403 ms after the break, and the runs of the next submission started 1,303 to 1,306 ms after it:
  # {"event":"run_stopped_for_silence","owner":"entry-0/..."} at 1,403 ms, and a start of the same task
  # at 1,304 ms.
  Scenario: an entry is paused, and its caller's connection breaks
    Given a platform with 2 entries and 2 agents
    When the waiting job "00000000000000a2" of 8 tasks of 4000 ms is on its way at entry 0
    And 8 tasks have started
    And entry 0 is paused, and the caller's connection breaks
    And the caller submits the job again at entry 1, as soon as it may
    Then no task ran twice at the same time

  # Each submission of a job whose caller waits numbers its attempts from 1, and entries compared
  # events by task and attempt only. A restarted agent does not know the owner of an end and sends it
  # to any entry. An entry with the next submission took such a "failed" for the end of its own run,
  # dropped that run while it was at work, and placed attempt 2 beside it. The log named a runner at
  # which the task was never placed: {"event":"task_ended","attempt":1,"end":"failed",
  # "runner":"i-earlier"}; the event is now logged as event_of_earlier_submission.
  Scenario: an end of an earlier submission is not applied to the present run
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 1 tasks whose caller waits
    When an agent reports that attempt 1 of an earlier submission, at another runner, ended as "failed"
    Then the task is still at the agent
    When an agent reports that attempt 1 of an earlier submission, at another runner, ended as "stopped"
    Then the task is still at the agent
    When an agent reports that attempt 1 of an earlier submission, at another runner, ended as "done"
    Then the task is still at the agent
    When an agent reports that attempt 1 of an earlier submission, at another runner, was lost
    Then the task is still at the agent

  # The first poll of a restarted agent renewed the lease of all runs by a whole second before the
  # agent knew their owners, and kept it for 400 ms more, however old the owners' last echoes were.
  # With entries and agents killed together and agents back after 0.6 s, runs went on until 1,303 ms
  # after the kill; the same job, sent again, started at 1,305 ms. The first two polls renewed by
  # 1,000 and 700 ms. The log shows {"event":"runner_looked","running":4} and, more than 1.3 s after
  # the last line of the owner's incarnation, a "run_stopped_for_silence" without owner.
  Scenario: an agent that has just started renews no lease before owners have claimed their runs
    Given a controller of a runner that holds a run of an earlier incarnation of the agent
    When it polls twice
    Then no poll has renewed the lease
    When an entry joins, echoes the greeting's clock and claims the run
    And it polls once
    Then that poll has renewed the lease by 800 ms

  # An entry stops the runs of a caller that left and drops the job. If the stop is lost with the
  # stream, the agent opens a new one, and the entry's echoes on it renewed the run up to its end,
  # while the caller's job ran elsewhere: until 4,196 ms, with the last echo of the earlier stream at
  # 1,000 ms. The log shows a task_stop_ordered without its task_ended, and an entry_lost and an
  # entry_joined of that entry at the agent in between.
  Scenario: echoes on a new stream don't renew runs that the entry has dropped
    Given a run for a waiting caller, whose owner has just been heard
    When its stream ends, and the same owner joins again 200 ms later and echoes on
    Then the run is over 1150 ms after its owner's last echo on the earlier stream

  Scenario: a run that its entry claims outlives a change of streams
    Given a run for a waiting caller, whose owner has just been heard
    When its stream ends, and the same owner joins again 200 ms later, claims it and echoes on
    Then the run has not been stopped

  # Runners leave some calls unanswered. While an agent repeated a stop, each poll renewed the lease as
  # long as the owner echoed: until 3,996 ms in a trial with the stop ordered at 1,000 ms. The caller
  # sends its job again 1,300 ms after it left. The log shows a task_stop_ordered at the entry and
  # repeated "stop_unanswered" at the agent, without the run's end.
  Scenario: a run whose stop stays unanswered is not renewed for ever
    Given a run for a waiting caller, whose owner has just been heard
    When its owner stops it, the runner leaves that unanswered, and the owner echoes on
    Then the run is over 1150 ms after its stop

  Scenario: a start that was left unanswered is not sent again once the run is to be stopped
    Given a run for a waiting caller, whose owner has just been heard
    When its start is left unanswered, and its owner stops it
    Then its start was called once

  # The agent's clock did not count the time for which its instance was suspended. A resumed agent took
  # the owner's last echo for a recent one and renewed the lease by up to a second (by 1,000 ms in a
  # trial), while the caller sent its job again elsewhere. Only a gap in the agent's log shows it.
  Scenario: an agent that was suspended renews no lease when it resumes
    Given a run for a waiting caller, whose owner has just been heard
    When the agent is suspended for 2000 ms and then polls once
    Then the run has been stopped, and not been renewed since the agent resumed

  Scenario: an agent allows for a runner's clock that was suspended as well
    Given a run for a waiting caller, whose owner has just been heard
    When agent and runner are suspended for 2000 ms, and then the owner claims the run
    And it polls once
    Then that poll has renewed the lease by at most 800 ms on the runner's clock

  Scenario: an entry that was suspended holds no lease when it resumes
    Given an entry that holds its lease
    When its instance is suspended for 5000 ms
    Then it does not act for its jobs
    And one clock of a process counts suspended time, the other does not

  Scenario: runs for waiting callers go on when their entry is renamed
    Given a run for a waiting caller, whose owner has just been heard
    When its entry loses its lease, and greets with the name of a new incarnation on the same stream
    And it polls once
    Then the run has not been stopped
