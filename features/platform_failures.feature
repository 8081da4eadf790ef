Feature: the platform path under failure
  Signals, store outages and runner faults, with real processes.

  Scenario: another entry finishes the stored jobs of one that was killed
    Given a platform with 2 entries and 2 agents
    When the stored job "00000000000000c1" of 4 tasks of 1500 ms is submitted at entry 0
    And 4 tasks have started
    And process entry-0 is killed
    Then the job "00000000000000c1" becomes "succeeded" at entry 1
    And no task ran twice at the same time

  Scenario: an entry that was frozen reports the same state as the others
    Given a platform with 2 entries and 2 agents
    When the stored job "00000000000000c2" of 8 tasks of 600 ms is submitted at entry 0
    And 8 tasks have started
    And process entry-0 is frozen for 9 s
    Then the job "00000000000000c2" becomes "succeeded" at entry 1
    And the job "00000000000000c2" is not reported with another end at entry 0
    And no task ran twice at the same time

  Scenario: a restarted entry resumes its own jobs
    Given a platform with 1 entries and 2 agents
    When the stored job "00000000000000c3" of 4 tasks of 1500 ms is submitted at entry 0
    And 4 tasks have started
    And process entry-0 is killed and started again
    Then the job "00000000000000c3" becomes "succeeded" at entry 0
    And no task ran twice at the same time

  Scenario: an entry that shuts down hands its jobs over
    Given a platform with 2 entries and 2 agents
    When the stored job "00000000000000c4" of 4 tasks of 6000 ms is submitted at entry 0
    And 4 tasks have started
    And process entry-0 is asked to stop
    Then the job "00000000000000c4" becomes "succeeded" at entry 1
    And no task ran twice at the same time

  Scenario: an entry that shuts down answers its waiting callers
    Given a platform with 2 entries and 2 agents
    When the waiting job "00000000000000c5" of 2 tasks of 1500 ms is on its way at entry 0
    And 2 tasks have started
    And process entry-0 is asked to stop
    Then the waiting caller is told "succeeded"

  Scenario: an entry that shuts down serves jobs that still have time, and closes each connection
    Given a platform with 2 entries and 2 agents
    When the waiting job "00000000000000da" of 2 tasks of 4500 ms is on its way at entry 0
    And 2 tasks have started
    And process entry-0 is asked to stop
    And entry 0 has been stopping for 3 s
    And the waiting job "00000000000000db" of 2 tasks of 50 ms is submitted at entry 0
    Then the answer tells the state "succeeded"
    And entry 0 ends the connection after its next answer
    And the waiting caller is told "succeeded"

  Scenario: running tasks survive a restart of their agent
    Given a platform with 2 entries and 1 agents
    When the waiting job "00000000000000c6" of 4 tasks of 3000 ms is on its way at entry 0
    And 4 tasks have started
    And process agent-0 is asked to stop and started again
    Then the waiting caller is told "succeeded"
    And no task ran twice at the same time

  Scenario: a restarted agent gets work before its runner's next heartbeat
    Given a platform with 1 entries and 1 agents
    When runner 0 sends no heartbeats
    And process agent-0 is killed and started again
    And the stored job "00000000000000dc" of 2 tasks of 50 ms is submitted at entry 0
    Then the job "00000000000000dc" becomes "succeeded" at entry 0

  Scenario: tasks of an agent that is lost are placed at another
    Given a platform with 1 entries and 2 agents
    When the waiting job "00000000000000c7" of 12 tasks of 800 ms is on its way at entry 0
    And 12 tasks have started
    And process agent-0 is killed
    Then the waiting caller is told "succeeded"
    And no task ran twice at the same time

  Scenario: tasks of an agent that is frozen are placed at another, and not twice when it wakes
    Given a platform with 1 entries and 2 agents
    When the waiting job "00000000000000c8" of 12 tasks of 2500 ms is on its way at entry 0
    And 12 tasks have started
    And process agent-0 is frozen for 4 s
    Then the waiting caller is told "succeeded"
    And no task ran twice at the same time

  Scenario: tasks of an agent that is cut off from its entry end there before they run elsewhere
    Given a platform with 1 entries and 2 agents, and a proxy before its streams
    When the stored job "00000000000000dd" of 10 tasks of 5000 ms is submitted at entry 0
    And 10 tasks have started
    And every second stream is silent
    Then tasks of "00000000000000dd" soon start again
    When no stream is silent any more
    Then the job "00000000000000dd" becomes "succeeded" at entry 0
    And no task ran twice at the same time

  Scenario: tasks of a crashed runner are placed again
    Given a platform with 1 entries and 2 agents
    When the waiting job "00000000000000c9" of 12 tasks of 800 ms is on its way at entry 0
    And 12 tasks have started
    And process runner-0 is killed
    Then the waiting caller is told "succeeded"

  Scenario Outline: calls that the runner leaves unanswered do not make a task run twice
    Given a platform with 1 entries and 1 agents
    When runner 0 leaves 3 calls <fault>
    And the waiting job "00000000000000d1" of 4 tasks of 300 ms is submitted at entry 0
    Then the answer tells the state "succeeded"
    And no task ran twice at the same time
    And the room of no runner was exceeded

    Examples:
      | fault                                  |
      | unanswered                             |
      | unanswered and carries them out late   |

  Scenario: tasks whose starts take effect but whose replies are lost run once, on the same runner
    Given a platform with 1 entries and 2 agents
    When runner 0 executes 5 calls and loses the replies
    And the waiting job "00000000000000d9" of 8 tasks of 300 ms is submitted at entry 0
    Then the answer tells the state "succeeded"
    And each of the 8 tasks of "00000000000000d9" was started once
    And the room of no runner was exceeded
    And no runner was suspected

  Scenario: a stalled task is placed again
    Given a platform with 1 entries and 2 agents
    When runner 0 stalls 2 tasks
    And the waiting job "00000000000000d2" of 8 tasks of 200 ms is submitted at entry 0
    Then the answer tells the state "succeeded"
    And no task ran twice at the same time

  Scenario: without the store, waiting callers are served and durable jobs rejected at once
    Given a platform with 2 entries and 2 agents
    When the store is in "outage"
    And the store's outage is noticed by entry 0
    And the stored job "00000000000000d3" of 1 tasks of 10 ms is submitted at entry 0
    Then the answer has status 503
    When the waiting job "00000000000000d4" of 2 tasks of 10 ms is submitted at entry 0
    Then the answer tells the state "succeeded"
    When the store has recovered
    Then the job "00000000000000d3" is unknown at entry 1

  Scenario: an accepted job continues while the store is unavailable, and its end is reported afterwards
    Given a platform with 2 entries and 2 agents
    When the stored job "00000000000000d5" of 4 tasks of 300 ms is submitted at entry 0
    And the store is in "outage"
    And 4 tasks have ended
    And the store has recovered
    Then the job "00000000000000d5" becomes "succeeded" at entry 0
    And each task of "00000000000000d5" was started 1 time

  Scenario: an insert whose reply is lost is resolved, and the job runs once
    Given a platform with 2 entries and 2 agents
    When the store is in "lost" for 1 calls that write a job
    And the stored job "00000000000000d6" of 3 tasks of 50 ms is submitted at entry 0
    And the store has recovered
    Then the job "00000000000000d6" becomes "succeeded" at entry 1
    And each task of "00000000000000d6" was started 1 time

  Scenario: a claim whose reply is lost is recognized, and the job ends
    Given a platform with 2 entries and 2 agents
    When the stored job "00000000000000d9" of 4 tasks of 1500 ms is submitted at entry 0
    And 4 tasks have started
    And the store is in "lost" for 1 calls that write a job
    And process entry-0 is killed
    Then the job "00000000000000d9" becomes "succeeded" at entry 1
    And no task ran twice at the same time

  Scenario: a configuration takes effect although the feed has dropped its history
    Given a platform with 2 entries and 2 agents
    When the store is in "forget"
    And the store has recovered
    And version 3 of the configuration adds the queue "/news/"
    Then the stored job "00000000000000d7" is soon accepted in the queue "/news/"

  Scenario: all processes are killed at once, and accepted jobs end without a further request
    Given a platform with 2 entries and 2 agents
    When the stored job "00000000000000d8" of 6 tasks of 1500 ms is submitted at entry 0
    And 6 tasks have started
    And all entries and agents are killed and started again
    Then the job "00000000000000d8" becomes "succeeded" at entry 1
    And no task ran twice at the same time
