Feature: What a failed call to a runner proves about the task
  Only a refused connection proves that the task did not start.

  Scenario: A runner that drops idle connections without notice makes no fate unknown
    Given a runner that closes each connection when a second request comes
    When 3 tasks are run one after the other
    Then every outcome is "finish"

  Scenario: A runner that does not listen has started nothing
    Given a runner that does not listen
    When 1 tasks are run one after the other
    Then every outcome is "not_sent"

  Scenario: A runner that dies while it runs a task leaves the fate of the task unknown
    Given a runner that closes each connection before it answers
    When 1 tasks are run one after the other
    Then every outcome is "fail"
    And the reason is "runner_connection_lost"

  Scenario: A task may run longer than the connect timeout
    Given a runner that takes 1500 ms for each task
    When 1 tasks are run one after the other
    Then every outcome is "finish"
