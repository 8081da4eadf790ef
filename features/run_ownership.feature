Feature: who may start, stop and renew a run after several faults in a row
  The scenarios run without processes, in manual time.

  # EntryOrders.rename_owner moves runs to the new name. Without passing the last echo on, Grants has
  # none under the new name until the next echo: the run counts as unclaimed for longer than
  # RESTART_ALLOWANCE_MS and is stopped.
  Scenario: a run goes on when its owner is renamed after a lost lease
    Given a run for a waiting caller, whose owner has just been heard
    When 600 ms pass with echoes, and its owner is renamed and a poll comes before the next echo
    Then the run has not been stopped

  # An entry that lost its lease while its stream was down joins under the name of its next
  # incarnation. Agents stopped the runs under the former name at once, before the entry could claim
  # them, and callers waited for tasks that began again. The greeting does not distinguish such an
  # entry from a restarted one that does not know the runs, so both have the same time to claim them.
  Scenario: a run goes on when its owner was renamed while its stream was down, and claims it
    Given a run for a waiting caller, whose owner has just been heard
    When its stream ends, and the entry joins again under another name and claims the run
    Then the run has not been stopped

  # Guards against an agent that stops the runs of a former name RESTART_ALLOWANCE_MS after the entry
  # has joined, though they were claimed in the meantime.
  Scenario: a run that a renamed owner has claimed goes on once the time to claim it is over
    Given a run for a waiting caller, whose owner has just been heard
    When its stream ends, and the entry joins again under another name, claims the run, and the time for that ends
    Then the run has not been stopped

  Scenario: a run that the next incarnation of its entry does not claim is stopped soon after it has joined
    Given a run for a waiting caller, whose owner has just been heard
    When its stream ends, and the entry joins again under another name and claims nothing
    Then the run has been stopped 200 ms after the entry has joined

  # Guards against counting the lease limit of a run that is to be stopped from the arrival of the stop
  # instead of the last echo before it. The caller's pause counts from when the caller left.
  Scenario: a stop that arrives late does not lengthen the lease of the run
    Given a run for a waiting caller, whose owner has just been heard
    When its owner's stream is 400 ms late, a stop comes, and the runner leaves it unanswered
    Then the run is over 1150 ms after its owner's last echo on the earlier stream

  # A runner that gets no acknowledgement of its deregistration ends some seconds later. A run that is
  # reported as lost before that could run twice.
  Scenario: the runs of a deregistered runner are not lost before they are proven over
    Given a run for a waiting caller, whose owner has just been heard
    When the runner deregisters, and the answer to that is lost
    Then the run is not reported as lost while its lease may last

  Scenario Outline: a caller that submits a job again that is at work here is not told that it never runs
    Given an entry at which a waiting job is at work, and that now is <state>
    When the caller sends the job again there
    Then it is not told that the job has not run

    Examples:
      | state      |
      | overloaded |
      | leaving    |

  Scenario Outline: a caller that submits a job again that has ended here is not told that it has not run
    Given an entry at which a waiting job has ended, and that now is <state>
    When the caller sends the job again there
    Then it is not told that the job has not run

    Examples:
      | state      |
      | overloaded |
      | leaving    |

  # asyncio's timers use the monotonic clock, which stops during a suspension, so a timer alone would
  # fire too late.
  Scenario: an entry that was suspended starts no run for a caller whose time is over
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a caller that waits for 1000 ms for a job of 1 tasks
    When the entry is suspended for 5000 ms, gives up its agent, and the agent joins again
    Then no run is ordered for that caller any more

  # Attempts are numbered from 1 in each submission. A runner that has ended attempt 1 of an earlier
  # submission rejects attempt 1 as "old"; if that is not reported at once, its room stays occupied
  # for START_EXPIRY_MS.
  Scenario: a start that the runner rejects as old at its first call is reported at once
    Given a run for a waiting caller, whose owner has just been heard
    When its first call is rejected as "old"
    Then its owner is notified at once that it was not started

  Scenario: an order for a run that is in the ledger does not occupy room twice
    Given a run for a waiting caller, whose owner has just been heard
    When another entry orders the same run, and its end is listed
    Then no room is occupied

  # A restarted agent does not renew the lease that all runs share until every present run is claimed
  # or over. A run whose owner is gone would let the others lapse, durable ones as well: of a lease of
  # 1,000 ms about 300 ms are left after a restart of 700 ms.
  Scenario: an unclaimed run at a restarted agent does not let claimed runs lapse
    Given a controller of a runner with two runs of an earlier incarnation and 300 ms of lease left
    When the owner of one of them claims it within 100 ms, and nobody claims the other
    Then the lease of the claimed run has been renewed before it ended

  Scenario: a caller whose time is over is told so soon after its entry was suspended
    Given a caller that waits for 1000 ms at an entry that is then suspended for 5000 ms
    Then the entry knows within 300 ms after resuming that the caller's time is over

  # Only echoes renew the grant. If any message counted as a sign of life, the stream would be kept
  # while the way to the entry is cut, and all its runs would be stopped.
  Scenario: a stream on which the entry sends but echoes nothing is replaced before the grant ends
    Given a run for a waiting caller, whose owner has just been heard
    When the entry sends its demand each 250 ms for 1500 ms, and echoes no heartbeat
    Then the stream was closed while the entry's grant still lasted

  Scenario: a run that was seen at work is not reported as never started
    Given a run for a waiting caller, whose owner has just been heard
    When its first call is left unanswered, a poll shows it at work during the next, which is late
    Then its owner is not notified that it was not started

  Scenario: a run that was seen at work is not started again
    Given a run for a waiting caller, whose owner has just been heard
    When its first call is left unanswered, and a poll shows it at work meanwhile
    Then the start is not called again
    And its owner is not notified that it was not started

  # All runs at a runner share one lease, which is never shortened. Agents renewed an idle runner, or
  # one with durable runs only, by a whole lease. A run that started there had that lease, whatever
  # its owner's last echo allowed, so that only the agent's stop could end it in time.
  Scenario Outline: a run does not get a longer lease than its owner's last echo allows
    Given an idle runner that grants leases of <lease_ms> ms and was polled just now
    When an order for a waiting caller comes whose clock is <age_ms> ms old, and then nothing more
    Then the runner ends that run by itself 1150 ms after its owner's last echo

    Examples:
      | lease_ms | age_ms |
      | 1000     | 250    |
      | 1000     | 600    |
      | 2000     | 0      |

  # The agent acknowledges ends of non-durable runs at the runner at once, whether their owner has
  # received them or not. An end that came while the stream was down, or just before it failed, was
  # lost: the owner found the run missing in the holdings and started the task again. The agent now
  # sends such ends again when the same entry joins.
  Scenario: what was done while a stream was down is told on the next one
    Given a run for a waiting caller, whose owner has just been heard
    When its stream ends, the run ends as done, and the same owner joins again 200 ms later
    Then its owner is told on the new stream that it is done

  Scenario: an owner that receives an end again does not start the task again
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 2 tasks whose caller waits
    When one of them ends as done, and the agent joins again and holds only that end
    Then only the other task is placed again

  Scenario: an end is not sent again after its owner has given the run up
    Given a run for a waiting caller, whose owner has just been heard
    When its stream ends, the run ends as done, and the same owner joins again 2200 ms later
    Then its owner is not notified of that end

  # The lease of an idle runner is not renewed. A start there expired with the little that was left of
  # the lease: 12,932 starts of one task were rejected as "late" within 12 s until one was fast enough
  # ({"event":"start_rejected","reason":"late"}, 1 ms apart).
  Scenario: a start at an idle runner has its whole time to take effect
    Given an idle runner that grants leases of 1000 ms and was polled just now
    When an order for a waiting caller comes whose clock is 0 ms old, and then nothing more
    Then its start may take effect for 700 ms

  # An entry was paused for 4.6 s. When it resumed, it read a request that had arrived meanwhile and
  # counted the caller's waiting time from then. The caller gave up 2,937 ms after its request, without
  # closing its connection, and its job, sent again elsewhere 1.3 s later, ran beside the first for up
  # to 317 ms (soak, seed 1003). The log shows a job_submitted within 10 ms of the entry's first line
  # after a gap, and {"event":"caller_gone","reason":"waited_out"} too late.
  Scenario: a caller's time begins when its request may have arrived, not when a paused entry reads it
    Given an entry that was paused for 2000 ms
    When it reads a request of a caller that waits for 2500 ms, and 600 ms pass
    Then the caller's time is over

  Scenario: a caller whose entry was not paused has its whole time
    Given an entry that was paused for 100 ms
    When it reads a request of a caller that waits for 2500 ms, and 600 ms pass
    Then the caller's time is not over

  # A runner at which a run of an earlier submission is still at work rejects the run of the next one
  # as "old". The task was placed there again at once: 209 times in 0.3 s (soak, seed 1003).
  Scenario: a task that a runner has rejected is placed elsewhere
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 1 tasks whose caller waits
    When its runner rejects it, and another one has room
    Then it is ordered at the other one
