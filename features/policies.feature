Feature: The policies of placement, fairness, limits and leases, each on its own

  Scenario: Teams take turns by weight
    Given 30 waiting tasks of each of the teams "a" with weight 2 and "b" with weight 1
    When 12 tasks are taken from the queue
    Then 8 of them are of team "a" and 4 of team "b"

  Scenario: Short jobs overtake long ones, but no job starves
    Given a long job of 1000 ms that waits for 100 ms and a short job of 50 ms for 20 ms
    Then "highest_response_ratio" takes the short job first
    And "first_come" takes the long job first
    When the long job has waited for 2000 ms and the short job for 20 ms
    Then "highest_response_ratio" takes the long job first

  Scenario: Tasks of a cancelled job are skipped in the queue
    Given 30 waiting tasks of each of the teams "a" with weight 1 and "b" with weight 1
    When all jobs of team "a" are cancelled
    And 12 tasks are taken from the queue
    Then 0 of them are of team "a" and 12 of team "b"

  Scenario: A scarce slot is offered to one entry at a time
    Given 3 entries that hold 5 tasks each
    When 1 slot becomes free
    Then exactly 1 entry is offered a free slot
    When the offer is not used for 31 ms
    Then exactly 1 entry is offered a free slot
    And it is another one

  Scenario: Entries share a team's limit by their demand
    Given a limit of 40 running tasks and entries with a demand of 30 and 10
    Then they may run 30 and 10 tasks

  Scenario: Never more than half of the runners are ejected
    Given 4 runners that fail everything
    When each has failed 10 times
    Then 2 of them are ejected

  Scenario: Stragglers are started again only where the submission allows it
    Given tasks of a kind that takes 100 ms, one with 1 start allowed and one with 2
    When both have run for 1000 ms
    Then only the one with 2 starts is a straggler

  Scenario Outline: A submission that can't be served is refused at once
    Given 1 runner with 8 slots and <queued> queued tasks of 500 ms
    When a job of <tasks> tasks with deadline <deadline> and <accelerators> accelerators comes
    Then it is refused with "<code>"

    Examples:
      | queued | tasks | deadline | accelerators | code                |
      | 0      | 1     | 5000     | 1            | can_never_run       |
      | 0      | 1     | 100      | 0            | can_never_run       |
      | 800    | 1     | 2000     | 0            | deadline_unmeetable |
      | 19999  | 2     | 60000    | 0            | overloaded          |

  Scenario: An outage of the store makes no lease lapse
    Given an entry whose lease was read
    When the table could not be read for 60000 ms and shows the same row again
    Then the entry's lease is valid
    When the row stays the same through 5000 ms of reads
    Then the entry's lease has lapsed
