Feature: who may start, stop and renew a run, when several things fail one after the other
  No processes, the time is given.

  # EntryOrders.rename_owner moves runs to the new name; Grants has no word under it until the next
  # echo, so the run counts as unclaimed for longer than RESTART_ALLOWANCE_MS and is stopped.
  Scenario: a run goes on when its owner gets another name after a lost lease
    Given a run for a waiting caller, whose owner has just been heard
    When 600 ms pass with echoes, and its owner is renamed and a look comes before the next echo
    Then the run has not been stopped

  # An entry whose lease was taken while its stream was down joins under the name of its next life.
  # The agent stopped at once what ran under the former name, before the entry could claim it:
  # callers waited for work that began anew. Such an entry can't be told by its greeting from one
  # that has begun anew and knows nothing of the runs, so both have the same time to claim them.
  Scenario: a run goes on when its owner was renamed while its stream was down, and claims it
    Given a run for a waiting caller, whose owner has just been heard
    When its stream ends, and the entry joins again under another name and claims the run
    Then the run has not been stopped

  Scenario: a run that the next life of its entry does not claim is stopped soon after it has joined
    Given a run for a waiting caller, whose owner has just been heard
    When its stream ends, and the entry joins again under another name and claims nothing
    Then the run has been stopped 200 ms after the entry has joined

  # The hold of a run that is to be stopped counts from the stop's arrival, not from the last word
  # that came before it. The caller's pause counts from its leaving.
  Scenario: a stop that comes late on its stream does not lengthen the hold
    Given a run for a waiting caller, whose owner has just been heard
    When its owner's stream delays all by 400 ms, a stop comes, and the runner leaves it unanswered
    Then the run is over 1150 ms after its owner's last echo on the earlier stream

  # "If it receives no acknowledgement, it ends anyway, some seconds later."
  Scenario: a runner that says that it ends holds its runs until they are proven over
    Given a run for a waiting caller, whose owner has just been heard
    When the runner deregisters, and the answer to that is lost
    Then the run is not told as lost while its lease may run

  Scenario Outline: a caller that returns to a job that is at work here is not told that it never runs
    Given an entry at which a waiting job is at work, and that now is <state>
    When the caller sends the job again there
    Then it is not told that the job has not run

    Examples:
      | state      |
      | overloaded |
      | leaving    |

  Scenario Outline: a caller that returns to a job that has ended here is not told that it has not run
    Given an entry at which a waiting job has ended, and that now is <state>
    When the caller sends the job again there
    Then it is not told that the job has not run

    Examples:
      | state      |
      | overloaded |
      | leaving    |

  # asyncio's timers count by the monotonic clock, which a suspension stops.
  Scenario: an entry that was suspended starts nothing for a caller whose time is over
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a caller that waits for 1000 ms for a job of 1 tasks
    When the entry is suspended for 5000 ms, gives up its agent, and the agent joins again
    Then nothing is ordered for that caller any more

  # The identity of a run begins at 1 with each submission: at a runner that has ended attempt 1 of
  # an earlier one, attempt 1 is rejected as "old", and its room stays taken for START_WINDOW_MS.
  Scenario: a start that the runner rejects as old at its first call is told at once
    Given a run for a waiting caller, whose owner has just been heard
    When its first call is rejected as "old"
    Then its owner is told at once that it was not started

  Scenario: an order for a run that is in the ledger does not take room twice
    Given a run for a waiting caller, whose owner has just been heard
    When another entry orders the same run, and its end is listed
    Then no room is taken

  # Until every run that a new life of an agent has found is claimed, nothing there is renewed: the
  # lease is one for all. A run whose owner is gone lets the others lapse, stored ones as well: of a
  # lease of 1,000 ms some 300 are left after a restart of 700 ms.
  Scenario: a found run that nobody claims does not let those that are claimed lapse
    Given a keeper of a runner that holds two runs of an earlier life, with 300 ms left of their lease
    When the owner of one of them claims it within 100 ms, and nobody claims the other
    Then the lease of the claimed run has been renewed before it ended

  Scenario: a caller whose time is over is told so soon after its entry was suspended
    Given a caller that waits for 1000 ms at an entry that is then suspended for 5000 ms
    Then the entry knows within 300 ms after waking that the caller's time is over

  # Any message counts as a sign of the entry, echoes alone renew the grant: with the way to the
  # entry cut, the stream is kept while all that runs for the entry is stopped.
  Scenario: a stream on which the entry sends but echoes nothing is replaced before the grant ends
    Given a run for a waiting caller, whose owner has just been heard
    When the entry sends its demand each 250 ms for 1500 ms, and echoes no beat
    Then the stream was cut while the entry's grant still lasted

  Scenario: a run that was seen at work is not told as never started
    Given a run for a waiting caller, whose owner has just been heard
    When its first call is left unanswered, a look shows it at work during the next, which is late
    Then its owner is not told that it was not started

  Scenario: a run that was seen at work is not started again
    Given a run for a waiting caller, whose owner has just been heard
    When its first call is left unanswered, and a look shows it at work meanwhile
    Then it is not called for again
    And its owner is not told that it was not started

  # A lease is one for all at a runner and never shortens. An idle runner, or one with stored runs
  # alone, is renewed by the whole lease; a run that starts there has that lease, whatever its
  # owner's word allows. Only the agent's stop bounds it then, not the runner.
  Scenario Outline: a run does not get more of a lease than its owner's word allows
    Given an idle runner that grants leases of <lease_ms> ms and was looked at just now
    When an order for a waiting caller comes whose clock is <age_ms> ms old, and then nothing more
    Then the runner ends that run by itself 1150 ms after its owner's word

    Examples:
      | lease_ms | age_ms |
      | 1000     | 250    |
      | 1000     | 600    |
      | 2000     | 0      |

  # Ends of runs for waiting callers are let go at the runner at once, whether their owner has heard
  # of them or not. One that came while the stream was down, or was sent just before it failed, was
  # never told: the owner found the run missing among the holdings and had the task done again. The
  # agent now tells it once more when the same entry joins.
  Scenario: what was done while a stream was down is told on the next one
    Given a run for a waiting caller, whose owner has just been heard
    When its stream ends, the run ends as done, and the same owner joins again 200 ms later
    Then its owner is told on the new stream that it is done

  Scenario: an owner that is told once more of an end does not start the task again
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 2 tasks whose caller waits
    When one of them ends as done, and the agent joins again and holds only that end
    Then only the other task is placed anew

  Scenario: an end is not told once more after its owner has given the run up
    Given a run for a waiting caller, whose owner has just been heard
    When its stream ends, the run ends as done, and the same owner joins again 2200 ms later
    Then its owner is not told of that end

  # The lease of an idle runner is not renewed. A start there was given the nothing that was left of it
  # as its expiry: 12,932 starts of one task were rejected as "late" within 12 s until one was fast
  # enough ({"event":"start_rejected","reason":"late"}, 1 ms apart).
  Scenario: a start at an idle runner has a whole window to take effect
    Given an idle runner that grants leases of 1000 ms and was looked at just now
    When an order for a waiting caller comes whose clock is 0 ms old, and then nothing more
    Then its start may take effect for 700 ms

  # An entry stood still for 4.6 s. It read a request that had come meanwhile when it woke, and counted
  # the time for which the caller waits from then on: the caller gave up 2,937 ms after its sending,
  # without closing its connection, and its job, sent again elsewhere 1.3 s later, ran beside the first
  # for up to 317 ms (soak, seed 1003). The lines are a job_submitted within 10 ms of the entry's first
  # line after a gap, and {"event":"caller_gone","reason":"waited_out"} too late.
  Scenario: a caller's time begins when its request may have come, not when a paused entry reads it
    Given an entry that has stood still for 2000 ms
    When it reads a request of a caller that waits for 2500 ms, and 600 ms pass
    Then the caller's time is over

  Scenario: a caller whose entry has not stood still has its whole time
    Given an entry that has stood still for 100 ms
    When it reads a request of a caller that waits for 2500 ms, and 600 ms pass
    Then the caller's time is not over

  # A runner at which an earlier submission's run is still at work rejects the next one's as "old". It
  # was placed there again at once: 209 times in 0.3 s (soak, seed 1003).
  Scenario: a task that a runner has rejected is placed elsewhere
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 1 tasks whose caller waits
    When its runner rejects it, and another one has room
    Then it is ordered at the other one
