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
