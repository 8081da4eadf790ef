Feature: decisions of the platform path, without processes
  The ledger of an agent, the owner's dispatch, group commit, leases and acceptance, driven
  with a manual clock and a fake store.

  Scenario: a start without an answer holds its room until it can't take effect any more
    Given a ledger of a runner with 2000 thousandths of a core
    When a run of 1500 is started that expires at 700 on the runner's clock
    And its call ends without an answer
    Then the free room is 500
    When a poll at 690 shows nothing
    Then the free room is 500
    When a poll at 701 shows nothing
    Then the free room is 2000
    And the run is reported as not started

  Scenario: a start whose answer is lost but that took effect runs
    Given a ledger of a runner with 2000 thousandths of a core
    When a run of 1500 is started that expires at 700 on the runner's clock
    And its call ends without an answer
    And a poll at 750 shows the run at work
    Then the free room is 500
    And the run is reported as started

  Scenario: runs of unknown size leave no room until their owner adopts them
    Given a ledger of a runner with 2000 thousandths of a core
    When a poll at 100 shows the run at work
    Then the free room is 0
    When the owner adopts the run with 500
    Then the free room is 1500

  Scenario: ends are acknowledged in order, and only once they are stored
    Given a ledger of a runner with 2000 thousandths of a core
    When a poll at 100 shows the ends 4, 5 and 6 of durable jobs
    Then ends up to 3 may be forgotten
    When the ends 5 and 6 are stored
    Then ends up to 3 may be forgotten
    When the ends 4 and 5 are stored
    Then ends up to 6 may be forgotten

  Scenario: a superseded end is acknowledged only after the lease has lapsed
    Given a ledger of a runner with 2000 thousandths of a core
    When a poll at 100 shows the ends 1, 2 and 3 of durable jobs
    And the end 1 was superseded
    Then the lease must lapse, and ends up to 0 may be forgotten
    When the lease has lapsed
    Then ends up to 1 may be forgotten

  Scenario: a runner whose lease must lapse shows no room, so that no order is sent in vain
    Given a ledger of a runner with 1000 thousandths of a core
    When a poll at 20 shows the ends 1, 2 and 3 of durable jobs
    Then the free room is 1000
    When the end 2 was superseded
    Then the free room is 0
    When the lease has lapsed
    Then the free room is 1000

  Scenario Outline: a run that ended before its adoption is reported to the new owner
    Given an agent whose entries wait for room
      | entry | upstream | urgency | jobs |
      | new   |          | 0       | 0    |
    And a run of a former owner has <ended>
    When entry "new" adopts the run
    Then entry "new" is told that the run is <told>

    Examples:
      | ended            | told  |
      | been stopped     | lost  |
      | ended as done    | ended |

  Scenario: a run without an estimate is not reported as slow
    Given a ledger of a runner with 2000 thousandths of a core
    When a poll at 100 shows the run at work
    And 400 ms later a poll at 500 shows 20 percent of it
    Then the run is not reported as straggling

  Scenario: a lease without answers to its renewals ends with the last renewal that was sent
    Given a bound of leases
    When a renewal until 2000 is sent, and one until 2500 is not
    Then the lease ends at 2000
    When a renewal until 2600 is under way
    Then the lease ends at 2600

  Scenario: a runner that fails its runs is ejected, is half-open, and is ejected again
    Given a runner's health
    When it fails 2 runs at 1000
    Then it is ejected at 1001 and at 2400, and is half-open at 2600
    When it fails 1 runs at 2700
    Then it is ejected at 2701 and at 4100, and is half-open at 4300
    When it completes a run at 4400
    Then it is not ejected at 4500

  Scenario: nothing is placed at a runner before its agent has reported its holdings
    Given an owner that sees one runner
    And a job of 2 tasks
    Then nothing is ordered
    When the agent tells that it holds nothing
    Then 2 tasks are ordered

  Scenario: an order that the agent does not hold is placed again with a higher attempt
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 1 tasks
    When the agent joins again and tells that it holds nothing
    Then the task is ordered again with attempt 2

  Scenario: a silent agent's tasks are placed again only when nothing can run there
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 1 tasks
    When the agent is silent until just before the limit
    Then the task is still at the agent
    When the agent is silent beyond the limit
    Then the task waits

  Scenario: a runner that its restarted agent does not report is given up
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 1 tasks
    When the agent's next incarnation joins and reports no runner
    And the agent sends heartbeats but no report of the runner until just before the limit
    Then the task is still at the agent
    When the agent sends heartbeats but no report of the runner beyond the limit
    Then the task waits

  Scenario: the end of a stopped earlier run does not start a taken-over task too early
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 1 tasks that was taken over with epoch 2
    When the end "stopped" of attempt 1 is reported twice
    Then nothing is ordered
    When no run at an agent can be left any more
    Then the task is ordered again with attempt 1001

  Scenario: a job that found no room in time is given up, but not while runners are being found
    Given an owner that sees one runner
    And a job of 2 tasks whose caller waits
    When 400 ms pass
    Then the job is open
    When 2500 ms pass
    And another job of 2 tasks whose caller waits
    And 400 ms pass
    Then the other job is refused

  Scenario: only ends of durable jobs are looked up
    Given an owner that sees one runner
    When the end of an unknown non-durable job is reported
    Then nothing is looked up
    When the end of an unknown durable job is reported
    Then the end is looked up

  Scenario: attempts of a new owner lie above all of earlier ones
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 1 tasks that was taken over with epoch 3
    Then nothing is ordered
    When no run at an agent can be left any more
    Then the task is ordered again with attempt 2001

  Scenario: a failed end that is reported twice counts once
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 1 tasks that may fail 2 times
    When the end "failed" of attempt 1 is reported twice
    Then the job is open
    When the end "failed" of attempt 2 is reported twice
    Then the job has "failed"

  Scenario: a done end of an earlier attempt does not count for a durable job
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 1 tasks
    When the agent joins again and tells that it holds nothing
    And the end "done" of attempt 1 is reported twice
    Then the job is open
    And the agent is told that the end was superseded

  Scenario: jobs that no runner can ever hold do not hold up others
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And 20 jobs that need more than any runner has
    When a job of 1 tasks is added behind them
    Then 1 tasks are ordered

  # Guards against a few large jobs without room that keep all later, smaller ones from room that is free.
  Scenario: jobs that find no room do not hold up smaller ones
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And the runner has room for 1000 thousandths of a core
    And 10 jobs of one task of 3000
    When a job of 1 tasks is added behind them
    Then 1 tasks are ordered

  # Guards against idle room beside tasks that wait for runners of a kind.
  Scenario: jobs that wait for a label do not hold up those that need none
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a runner with the label "fast" that has no room
    And 10 jobs of one task of 500 that need a runner with the label "fast"
    When a job of 1 tasks is added behind them
    Then 1 tasks are ordered

  Scenario: tasks of a step that wait for a label do not hold up another step
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a runner with the label "fast" that has no room
    When a job has 4 tasks that need the label "fast", and 2 that need none
    Then 2 tasks are ordered

  Scenario: jobs that wait for a full upstream do not hold up those of another
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And 20 jobs that wait for a runner of "deskbook" without room
    When a job of 1 tasks is added behind them
    Then 1 tasks are ordered
    And the published demand is 20 jobs that wait for "deskbook"

  Scenario: jobs that have begun go before new ones, and of both the late ones go last
    Given these jobs wait at 1000 ms, accepted at 900 ms
      | job | priority | tasks | placed | estimate |
      | new | 0        | 8     | 0      | 200      |
      | 1st | 0        | 8     | 7      | 200      |
      | tag | 1        | 2     | 0      | 200      |
      | mid | 1        | 2     | 1      | 200      |
      | old | 0        | 8     | 0      | 10       |
      | end | 0        | 8     | 7      | 10       |
    Then they are placed in the order "1st mid end new tag old"

  Scenario: the wait follows from the rate since work was placed again
    Given an entry that places work of 20 a millisecond, from 5000 ms on
    Then work of 2000 waits 100 ms at 5200 ms
    And work of 2000 waits 100 ms at 7000 ms

  Scenario: a task goes where it may, and where it is likely to end soon
    Given runners of one upstream
      | runner | state    | labels | free | slowness |
      | i-1    | ready    | a r1   | 1000 | 1000     |
      | i-2    | ready    | b r2   | 2000 | 1000     |
      | i-3    | ready    | b r3   | 3000 | 9000     |
      | i-4    | draining | a r1   | 4000 | 1000     |
      | i-5    | suspect  | a r1   | 4000 | 1000     |
    Then a task goes to these runners
      | cpu  | requires | rack | avoids | runner |
      | 500  |          |      |        | i-2    |
      | 500  | a        |      |        | i-1    |
      | 500  |          | r1   |        | i-1    |
      | 500  |          |      | i-2    | i-1    |
      | 2500 |          |      |        | none   |
      | 500  | c        |      |        | none   |

  Scenario: room is reported first to the entry with the most urgent work, and offered to it
    Given an agent whose entries wait for room
      | entry | upstream     | urgency | jobs |
      | one   |              | 0       | 0    |
      | two   | inspect-desk | 9       | 4    |
      | three | inspect-desk | 10      | 2    |
      | four  | deskbook     | 12      | 9    |
    When a run of entry "one" has ended
    Then entry "one" is told of the end and "three" of the room
    And all entries are told of the room at the next interval
    When the offer to it has expired
    Then at the next interval entry "three" sees room, and the others none

  Scenario: room is offered to nobody while work waits at one entry only
    Given an agent whose entries wait for room
      | entry | upstream     | urgency | jobs |
      | one   |              | 0       | 0    |
      | two   | inspect-desk | 9       | 4    |
      | four  | deskbook     | 12      | 9    |
    When a run of entry "one" has ended
    Then entry "one" is told of the end and "two" of the room
    And at the next interval all entries see the room

  Scenario: entries that see the same room do not all send their work to one runner
    Given 40 equal runners of one upstream that 12 entries see alike
    Then one task of each entry goes to 6 runners or more

  Scenario: an agent refuses what its runner may not start
    Given a draining runner with an agent
    Then an order is refused as "runner_draining"
    Given a runner with an agent and 1000 thousandths of a core
    Then an order is refused as "no_room"
    Given a runner with an agent and 3000 thousandths of a core
    Then an order is refused as "order_expired" if it is older than a second

  Scenario: freed room is offered to the entry that it was reported to, until the offer expires
    Given a runner with an agent and 3000 thousandths of a core
    When 2000 of them are offered to another entry
    Then an order is refused as "no_room"
    When the offer has expired
    Then an order begins

  Scenario: an entry uses the room that is offered to it, and declines what it does not need
    Given a runner with an agent and 4000 thousandths of a core
    When 4000 of them are offered to the entry itself
    Then an order begins
    And 2000 of them are still withheld from others
    When the entry reports that nothing waits there
    Then 0 of them are still withheld from others

  Scenario: a start that was left unanswered and then rejected holds its room until its expiry
    Given a runner with an agent and 3000 thousandths of a core
    And a runner that leaves the first start unanswered and rejects the second
    When 400 ms after its clock was read a run is started there
    Then its room is held until the expiry that the runner was told

  Scenario: a runner that resets every call is not flooded with connections
    Given a controller of a runner that resets every poll
    When it polls for 300 ms
    Then it has polled at most 30 times

  Scenario: a runner that leaves three polls in a row unanswered has no room until it answers again
    Given a controller of a runner that leaves three polls in a row unanswered
    When it polls for 300 ms
    Then entries are told of its room, of none, and of its room again

  Scenario: a runner that leaves one poll unanswered keeps its room
    Given a controller of a runner that leaves its second poll unanswered
    When it polls for 300 ms
    Then entries are told of its room once, and never of none

  Scenario Outline: malformed answers of store and runner are errors and no crashes
    Given a server that answers <status> with <body>
    Then a read of rows fails as "store_outcome_unknown"
    And a poll of a runner fails as "no_reply"

    Examples:
      | status | body                                        |
      | 200    | {"ver"                                      |
      | 200    | {}                                          |
      | 200    | {"ver":1,"rows":7,"clock_ms":5}             |
      | 200    | [{"ver":1,"rows":[],"clock_ms":5}]          |
      | 200    | {"ver":"x","rows":[],"clock_ms":"x"}        |

  Scenario: a background loop that crashes is logged and restarted
    Given background work that crashes once
    Then it is restarted, and the crash is counted

  Scenario: one change that conflicts does not hold up those that share its transaction
    Given a writer on a fake store with the row "b" taken
    When the rows "a", "b" and "c" are inserted at once
    Then "a" and "c" are committed and "b" conflicts

  Scenario: an insert without an answer is never reported as refused
    Given an acceptor on a fake store
    When the store leaves the first insert unanswered and rejects the second
    Then the job is accepted in the end

  Scenario: an insert that the store rejects is reported as refused
    Given an acceptor on a fake store
    When the store rejects every insert
    Then the job is refused

  Scenario: a lease is ended only after it was observed unchanged for its whole duration
    Given two entries with leases in a fake store
    When the second entry renews nothing for 4500 ms
    Then the first entry still counts it as an owner
    When the second entry renews nothing for 400 ms
    Then the first entry has ended its lease
    And the second entry learns at its next renewal that it lost its lease

  # Guards against a count of 0 while the jobs of a restarted entry are still to be claimed.
  Scenario: the jobs that waited at an entry are counted until others may have claimed them
    Given two entries with leases in a fake store
    And 10 jobs wait at the second entry
    Then the first entry counts 10 jobs that wait at others
    When the second entry is restarted
    Then the first entry counts 10 jobs that wait at others
    When 3000 ms have passed at the first entry
    Then the first entry counts 0 jobs that wait at others

  # Guards against counts that pile up while nobody asks for them.
  Scenario: counts of former owners are forgotten though nobody asks for them
    Given two entries with leases in a fake store
    When the second entry is restarted 20 times, once in 4000 ms
    Then the first entry keeps the counts of 1 former owner

  # Guards against owners whose jobs nobody searches for, as another lease could not be ended.
  Scenario: an owner that has ended is reported though the end of another one's lease fails
    Given two entries with leases in a fake store
    And a third entry that renews nothing for 5000 ms
    When the second entry leaves, and the store rejects the end of the third one's lease
    Then the first entry has reported that the second one has ended

  Scenario: an outage of the store ends no lease
    Given two entries with leases in a fake store
    When the store is away for 20000 ms
    Then the first entry still counts it as an owner

  Scenario: grants for durable jobs end with the owner's lease
    Given grants of an agent
    When an owner without a lease echoes the clock 5000
    Then non-durable jobs may run until 5850 and durable jobs not at all

  Scenario: every event that the code writes is listed with its fields
    Then each event in the code is in the list, with exactly its fields

  Scenario: the page of events is as generated from the list
    Then the page LOGS.md is as generated

  Scenario: what is sent on a stream in one turn goes out in one write, in order
    Given a stream whose writes are counted
    When 3 messages are sent in one turn and 1 in the next
    Then 2 writes carry the 4 messages in order

  Scenario: a stream that is closed still writes what was sent before
    Given a stream whose writes are counted
    When 2 messages are sent and the stream is closed at once
    Then 1 writes carry the 2 messages in order

  Scenario: an unstored end is reported to two entries at a time
    Given an agent whose entries wait for room
      | entry  | upstream | urgency | jobs |
      | edge-1 |          | 0       | 0    |
      | edge-2 |          | 0       | 0    |
      | edge-3 |          | 0       | 0    |
      | edge-4 |          | 0       | 0    |
      | edge-5 |          | 0       | 0    |
    When an end of an unknown owner is 2000 ms old
    Then 2 entries are told of it
    And the agent holds nothing that it must report to all entries
    When an end of an unknown owner is 4000 ms old
    Then the agent holds an end that it must report to all entries

  Scenario: an entry that receives an unowned end on a new stream does not look the job up
    Given an owner that sees one runner
    When the agent reports on a new stream an end of a job that the entry does not own
    Then the entry does not look the job up
