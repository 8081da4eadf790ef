Feature: Jobs are answered correctly while processes die, freeze and lose the store
  Starts are counted by the runners themselves.

  Background:
    Given a system of 3 entries and 3 runners

  Scenario: The owner is killed and the job sent again
    Given the job "f1" of 4 tasks of 1500 ms is in flight at entry 0
    When entry 0 is killed
    And the job "f1" of 4 tasks of 1500 ms is submitted to entry 1 until it is answered
    Then the answer is complete
    And every task started exactly once

  Scenario: The owner is frozen until its lease has expired, and resumes
    Given the job "f2" of 4 tasks of 6000 ms is in flight at entry 0
    When entry 0 is frozen
    And the job "f2" of 4 tasks of 6000 ms is submitted to entry 1 until it is answered
    Then the answer is complete
    When entry 0 resumes
    Then the call in flight is answered as complete
    And every task started exactly once

  Scenario: An agent is killed, and a second start is not allowed
    Given the job "f3" of 6 tasks of 1500 ms is in flight at entry 0
    When agent 0 is killed
    Then the call in flight is answered as failed
    And the tasks that are not done are "unknown"
    And no task started more than 1 times

  Scenario: An agent is killed, and a second start is allowed
    Given the job "f4" of 6 tasks of 1500 ms with 2 starts is in flight at entry 0
    When agent 0 is killed
    Then the call in flight is answered as complete
    And no task started more than 2 times

  Scenario: An agent is frozen past the deadline and starts nothing afterwards
    Given agent 0 is frozen
    When the job "f5" of 6 tasks of 100 ms with deadline 1500 is submitted to entry 0
    Then the answer is failed
    And the tasks that are not done are "unknown"
    When agent 0 resumes and has caught up
    Then the tasks that are not done never started

  Scenario: A runner is killed while it runs tasks
    Given the job "f6" of 6 tasks of 1500 ms is in flight at entry 0
    When runner 0 is killed
    Then the call in flight is answered as failed
    And the tasks that are not done are "unknown"

  Scenario: The store is down when a job is submitted, and works when it is submitted again
    Given the store has an outage for "claim/"
    When the job "f7" of 2 tasks of 50 ms is submitted to entry 0
    Then the call fails with status 503 and code "store_unavailable"
    And the refusal says "unknown"
    When the store works again
    And the job "f7" of 2 tasks of 50 ms is submitted to entry 1 until it is answered
    Then the answer is complete
    And every task started exactly once

  Scenario: The store stays down, and a claimed job is still answered
    Given the job "f8" of 4 tasks of 1500 ms is in flight at entry 0
    And the store has an outage for ""
    Then the call in flight is answered as complete

  Scenario: The answer to a claim is lost after its effect
    Given the store loses 1 answers for "claim/"
    When the job "f9" of 2 tasks of 50 ms is submitted to entry 0
    Then the answer is complete
    And every task started exactly once

  Scenario: Two entries race for one submission
    When the job "f10" of 4 tasks of 500 ms is submitted to all entries at once
    Then all answers are the same and complete
    And every task started exactly once

  Scenario: An entry answers its open requests before it shuts down
    Given the job "f11" of 4 tasks of 1500 ms is in flight at entry 0
    When entry 0 is told to shut down
    Then the call in flight is answered as complete
    And entry 0 has ended with code 0

  Scenario: An agent that shuts down returns the tasks that it has not started
    Given the job "f12" of 60 tasks of 400 ms is in flight at entry 0
    When agent 0 is told to shut down
    Then the call in flight is answered as complete
    And every task started exactly once
    And agent 0 has ended with code 0

  Scenario: A leaving upstream gets no new work after three seconds, though it still announces
    Given runner 0 announces that it leaves
    And 3 seconds have passed
    When the job "f13" of 20 tasks of 50 ms is submitted to entry 0
    Then the answer is complete
    And runner 0 started nothing

  Scenario: A runner that left and came back gets work again
    Given runner 0 announces that it leaves
    Then the runner of agent 0 comes to the state "leaving" at entry 0
    When runner 0 is frozen
    Then the runner of agent 0 comes to the state "announced" at entry 0
    When runner 0 resumes
    Then the runner of agent 0 comes to the state "ready" at entry 0

  Scenario: A runner that fails all tasks is ejected
    Given runner 0 fails all tasks
    When 12 jobs of 4 tasks with 5 starts are submitted to entry 0
    Then all of them are complete
    And the runner of agent 0 has the state "ejected" or "probation" at entry 0

  Scenario: After a job is cancelled no more tasks start, and the answer lists those that ran
    Given the job "f14" of 100 tasks of 400 ms is in flight at entry 0
    When the job "f14" is cancelled at entry 1
    Then the call in flight is answered as failed
    And the tasks that are not done are "not_run"
    And the tasks that are not done never started

  Scenario: An invalid frame closes only the stream that carried it
    When invalid frames of every kind are sent to the streams of entry 0
    And the job "f15" of 4 tasks of 50 ms is submitted to entry 0
    Then the answer is complete

  Scenario: All processes of an availability zone die at once
    Given the job "f16" of 9 tasks of 1500 ms with 2 starts is in flight at entry 1
    When entry 0 and agent 0 and runner 0 are killed
    Then the call in flight is answered as complete
    And no task started more than 2 times

  Scenario: All entries are replaced one by one under load
    Given the trace "short.jsonl" is being replayed
    When every entry is told to shut down and started again, one after the other
    Then the replay reaches its stated outcome
    And every task started exactly once

  Scenario: The owner is killed and the answer to the takeover is lost
    Given the job "f17" of 4 tasks of 1500 ms is in flight at entry 0
    When entry 0 is killed
    And the store starts to lose 2 answers for "claim/"
    And the job "f17" of 4 tasks of 1500 ms is submitted to entry 1 until it is answered
    Then the answer is complete
    And every task started exactly once

  Scenario: The store goes down and an agent dies at once
    Given the job "f18" of 6 tasks of 1500 ms with 2 starts is in flight at entry 0
    And the store has an outage for ""
    When agent 0 is killed
    Then the call in flight is answered as complete
    And no task started more than 2 times

  Scenario: Cancelling many jobs at once sends messages only for tasks that agents hold
    Given 20 jobs of 30 tasks of 400 ms are in flight at entry 0
    When all of them are cancelled at entry 0
    Then all of them are answered as failed
    And entry 0 has sent at most 60 "Withdraw" messages
    And no task started more than 1 times
