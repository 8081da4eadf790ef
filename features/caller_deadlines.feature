Feature: a caller that waits does so for a stated time, and nothing runs for it after that
  Guards against a task that runs at two runners at once. A caller's connection breaks without a
  reset; an entry that ignores the caller's stated waiting time lets the job's tasks run on, while
  the caller submits the job again to another entry, which does not know it and starts all tasks.

  Scenario: a caller falls silent, and submits its job again elsewhere after its time is over
    Given a platform with 2 entries and 2 agents
    When the waiting job "00000000000000e1" of 8 tasks of 4000 ms is sent to entry 0 by one who waits for 1000 ms and falls silent
    And 8 tasks have started
    Then nothing runs 1000 ms after the caller's time is over
    And entry 0 has logged that the caller of "00000000000000e1" has waited for 1000 ms
    When the silent caller submits its job again at entry 1, as soon as it may
    Then the answer tells the state "succeeded"
    And no task ran twice at the same time

  Scenario: a caller whose time is not over gets its answer
    Given a platform with 1 entries and 2 agents
    When the waiting job "00000000000000e2" of 8 tasks of 1500 ms is submitted by one who waits for "4000" ms
    Then the answer tells the state "succeeded"
    And each task of "00000000000000e2" was started 1 time
    And entry 0 has logged no caller that has gone

  Scenario: a caller whose time is over leaves the job to another that still waits
    Given a platform with 1 entries and 2 agents
    When the waiting job "00000000000000e3" of 8 tasks of 2500 ms is on its way from one who waits for "6000" ms
    And 8 tasks have started
    And the waiting job "00000000000000e3" of 8 tasks of 2500 ms is submitted by one who waits for "500" ms
    Then the answer has status 504
    And the waiting caller is told "succeeded"
    And each task of "00000000000000e3" was started 1 time

  Scenario: the last caller whose time is over ends the job
    Given a platform with 1 entries and 2 agents
    When the waiting job "00000000000000e4" of 8 tasks of 9000 ms is on its way from one who waits for "1500" ms
    And 8 tasks have started
    And the waiting job "00000000000000e4" of 8 tasks of 9000 ms is submitted by one who waits for "500" ms
    Then the answer has status 504
    And 8 tasks are at work
    And the waiting caller is told that nothing is known
    And soon nothing runs
    And entry 0 has logged that the caller of "00000000000000e4" has waited for 1500 ms

  Scenario: a caller that closes its connection is logged as one that has gone
    Given a platform with 1 entries and 2 agents
    When the waiting job "00000000000000e5" of 3 tasks of 5000 ms is sent by one who leaves
    Then soon nothing runs
    And entry 0 has logged that the caller of "00000000000000e5" has closed its connection

  Scenario Outline: a waiting time that can't be read limits nothing
    Given a platform with 1 entries and 1 agents
    When the waiting job "00000000000000e6" of 2 tasks of 1300 ms is submitted by one who waits for "<text>" ms
    Then the answer tells the state "succeeded"
    And entry 0 has logged no caller that has gone

    Examples:
      | text      |
      |           |
      | soon      |
      | -1000     |
      | 1e3       |
      | 1000.5    |
      | 86400001  |

  Scenario: a stored job outlives the time for which its caller waits
    Given a platform with 1 entries and 1 agents
    When the stored job "00000000000000e7" of 2 tasks of 1500 ms is submitted by one who waits for "300" ms
    Then the answer has status 200
    And the job "00000000000000e7" becomes "succeeded" at entry 0
    And each task of "00000000000000e7" was started 1 time

  Scenario: a stored job outlives a caller that waits for one of its identity
    Given a platform with 1 entries and 1 agents
    When the stored job "00000000000000e8" of 2 tasks of 1500 ms is submitted at entry 0
    And the waiting job "00000000000000e8" of 2 tasks of 1500 ms is submitted by one who waits for "300" ms
    Then the answer has status 504
    And the job "00000000000000e8" becomes "succeeded" at entry 0
    And each task of "00000000000000e8" was started 1 time

  Scenario Outline: how long a caller waits, as its header says
    Then a header "<text>" states a waiting time of <limit>

    Examples:
      | text                 | limit       |
      | 1                    | 1 ms        |
      | 3272                 | 3272 ms     |
      | 8956                 | 8956 ms     |
      | 00300                | 300 ms      |
      | 86400000             | 86400000 ms |
      | 86400001             | none        |
      | 99999999999999999999 | none        |
      | 0                    | none        |
      | -1                   | none        |
      | +1                   | none        |
      | 1_000                | none        |
      | 1,000                | none        |
      | 10.0                 | none        |
      | 1e3                  | none        |
      | 0x10                 | none        |
      | 3272 ms              | none        |
      | 3272, 3272           | none        |
      | ²                    | none        |
      | ١٢                   | none        |
      |                      | none        |

  Scenario: no header, blanks, or thousands of digits
    Then a request without the header states no waiting time
    And a header of 1 blanks states no waiting time
    And a header of 5000 digits states no waiting time

  Scenario: an answer that is there when the time is over is sent
    Given callers of an entry that decides without processes
    When a caller that waits for 50 ms asks for a job, whose end is known just when its time is over
    Then the caller is told "succeeded", and no run was stopped
    When the same job is asked for by a caller whose time is over already
    Then the caller is told "succeeded", and no run was stopped

  Scenario: a request that is read after its caller's time is over begins no job
    Given callers of an entry that decides without processes
    When a job is asked for by a caller whose time is over already
    Then the caller is told that nothing is known, and no job was begun

  Scenario: an entry that shuts down gives up callers before their time is over
    Given callers of an entry that decides without processes
    When a caller that waits for 5000 ms asks for a job, and the entry gives up
    Then the caller is told that nothing is known, and the job was stopped once
    And no caller was logged as gone
