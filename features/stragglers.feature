Feature: runs that take too long
  Slow runs were judged by their own estimates only: a task that really takes long was restarted,
  up to three times, at runners that were no faster, while the other runs at its runner went at
  the usual speed. Of 107 runs that were moved so and ended at their next attempt, 73 ended later
  than projected at their first runner.

  Scenario: an agent reports the pace of a straggler and of the other runs at its runner
    Given a ledger of a runner with 9000 thousandths of a core
    And 5 runs at work there that do 1 percent in 5 ms, and one that does 1 percent in 20 ms
    When 200 ms have passed since they began
    Then that one is reported as slow, with 200 ms gone and 1704 left, the others at 986 permille

  Scenario: tasks of the same job tell nothing of the runner, as all are off their estimate alike
    Given a ledger of a runner with 9000 thousandths of a core
    And 5 runs at work there that do 1 percent in 20 ms, and one that does 1 percent in 20 ms
    And all are of one job
    When 200 ms have passed since they began
    Then that one is reported as slow, with 200 ms gone and 1704 left, the others at 0 permille

  Scenario: a slow run is not reported as stalled between two percents
    Given a ledger of a runner with 9000 thousandths of a core
    And 5 runs at work there that do 1 percent in 5 ms, and one that does 1 percent in 500 ms
    When 2450 ms have passed since they began
    Then that one is not reported as stalled
    When 3000 more ms have passed without a further percent of it
    Then that one is reported as stalled for 3000 ms or more

  Scenario: a stalled run that its agent has not started itself is reported
    Given a ledger of a runner with 9000 thousandths of a core
    When a poll at 100 shows the run at work
    And a poll at 2000 shows the run at work
    Then the run is not reported as straggling
    When a poll at 2200 shows the run at work
    Then the run is reported as straggling

  Scenario Outline: a slow run is moved if its runner is slow and it ends sooner elsewhere
    Given an owner with a task of 500 ms at one of two runners, and room at the other
    When its run is slow: <ran> ms gone, <left> left, the other runs there at <others> permille
    Then it is <moved>

    Examples:
      | ran  | left | others | moved     |
      | 500  | 3000 | 1000   | not moved |
      | 500  | 3000 | 7000   | moved     |
      | 3000 | 500  | 7000   | not moved |
      | 500  | 3000 | 0      | not moved |
      | 300  | 700  | 1500   | not moved |

  Scenario: where no other runs are known there, the runner's reported slowness counts
    Given an owner with a task of 500 ms at one of two runners, and room at the other
    And the runner where it is was reported at 6000 permille, the other at 1000
    When its run is slow: 500 ms gone, 3000 left, the other runs there at 0 permille
    Then it is moved

  Scenario: a run that takes longer than nearly all of its queue is moved though nothing else is known
    Given an owner with a task of 500 ms at one of two runners, and room at the other
    And tasks of its queue take up to 2 times their estimates
    When its run is slow: 500 ms gone, 3000 left, the other runs there at 0 permille
    Then it is moved

  Scenario: a run is not moved to where it takes longer for being away from its data
    Given an owner with a task of 500 ms at one of two runners, and room at the other
    And its data is on the rack of the runner where it is, and it takes 5 times as long elsewhere
    When its run is slow: 500 ms gone, 2500 left, the other runs there at 6000 permille
    Then it is not moved

  Scenario: a slow run stays where it is if there is no room elsewhere
    Given an owner with a task of 500 ms at one of two runners, and no room at the other
    When its run is slow: 500 ms gone, 3000 left, the other runs there at 7000 permille
    Then it is not moved

  # Two durable jobs of a soak (seed 1012) never ended: their runs stalled at runners that hang each
  # run, and after three moves each they were not moved any more, for over 180 s.
  Scenario: a stalled run is not left there after its third move
    Given an owner with a task of 500 ms at one of two runners, and room at the other
    When its runs stall for 60 s, wherever they are
    Then it was moved at least 6 times, and from the fourth time on after 2, 4, 8 and 16 s
    When its next run is done
    Then its job ends

  Scenario: a stalled run is moved though the budget is spent, but not at once
    Given an owner with a task of 500 ms at one of two runners, and room at the other
    And the budget of moves is spent
    When its run has stalled for 1900 ms
    Then it is not moved
    When its run has stalled for 2200 ms
    Then it is moved

  Scenario: a slow run is not moved once the budget is spent
    Given an owner with a task of 500 ms at one of two runners, and room at the other
    And the budget of moves is spent
    When its run is slow: 500 ms gone, 3000 left, the other runs there at 7000 permille
    Then it is not moved

  Scenario: where some tasks take long and some runners are slow, fewer runs are restarted
    When the load "long tasks" of seed 1 is played with and without "move_costs"
    Then more runs are moved without it by 20 or more
    And the worth is no lower than without it
