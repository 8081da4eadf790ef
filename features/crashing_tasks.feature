Feature: a task that crashes the runners that start it does not go on for ever
  A runner that crashes comes back after some seconds, with a new identity and without its runs.

  # A task that crashes its runners was restarted on one runner after the other for as long as its
  # job was open. The users' rules allow three more starts after three runners have crashed under it.
  Scenario: a task under which each runner crashes is started three times more at most after three crashes
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 1 tasks
    When each runner at which it is started crashes, 12 of them one after the other
    Then it has been started 6 times at most

  # A runner that crashes ends all its runs. Guards against innocent tasks that are given up as they ran
  # beside one that crashes its runners.
  Scenario: a task that runs beside one that crashes its runners is done, and the other one given up
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And two jobs of 1 task each
    When the runners crash under the task of one job, wherever both are started, until that has ended
    Then the one job has failed, after 5 starts at most, and the other has been done

  Scenario Outline: how many runners must crash before a task runs alone
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And two jobs of 1 task each
    When <count> runners crash under both, and <time> ms pass
    Then both are ordered at the next runner <how>

    Examples:
      | count | time | how                |
      | 1     | 0    | together           |
      | 2     | 0    | one after another  |
      | 2     | 1000 | together           |
      | 3     | 5000 | one after another  |

  # A runner that has announced its end takes its runs with it by plan.
  Scenario: the end of a runner that drains is no crash
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And two jobs of 1 task each
    When 4 runners drain and end with both
    Then both are ordered at the next runner together

  Scenario: a new owner knows the crashes under a task
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And two jobs of 1 task each
    When 3 runners crash under both, and their progress is stored and read
    Then their tasks must run alone

  Scenario: an agent starts an exclusive run at an idle runner only, and nothing beside it
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When an exclusive order comes, and again once nothing runs there, and a common one after it
    Then the first and the last one are refused for room

  # Guards against an owner that counts an exclusive order in another way than the agent does, and so
  # takes room there for occupied until the next stream.
  Scenario: an exclusive run takes the whole room, and gives it back
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller under whose task 3 runners have crashed
    When its task is started, and has been done
    Then the owner saw no room there meanwhile, and sees all of it again

  # Guards against an order that never came, which counts as a crash of its runner.
  Scenario: a crash counts for tasks that were at work only
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And a job of 1 tasks
    When its runner is gone before its start is reported
    Then no crash counts for its task

  # The same with real processes. A crashed runner refuses connections until it is back, and the lease of
  # its runs may have lapsed before.
  Scenario: a job whose task crashes its runners fails, and other jobs are done, real processes
    Given a system with two runners that are back half a second after each crash
    When a stored job with a task that crashes its runners is accepted, and jobs of others besides
    Then that job has failed, after 5 starts of its task at most
    And all tasks of the others have been done
