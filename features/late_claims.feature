Feature: what runs for waiting callers goes on while its entry's claim is on its way
  An entry that joins again claims what runs for its callers. Delayed links, a paused entry or many
  runs may hold the claim up; the owner's last word still allows the runs until its grant ends.

  # An agent stopped after 200 ms what ran under an entry's former name, as an entry that has begun
  # anew claims nothing. One that has only lost its lease may need longer than that to claim: its work
  # was lost, and done again. It names its former lives now when it joins.
  Scenario Outline: a renamed entry's claim comes late
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When the entry loses its lease while its stream is down, and joins under another name
    And its claim takes <delay> ms
    Then the runs go on, and have <stops>

    Examples:
      | delay | stops            |
      | 0     | not been stopped |
      | 150   | not been stopped |
      | 400   | not been stopped |

  Scenario: a renamed entry that does not claim a run loses it before its caller may come back
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When the entry loses its lease while its stream is down, and joins under another name
    And its claim takes 2000 ms
    Then all runs were stopped 850 ms after the owner's last word at the latest

  # The end of a run was told to the entry under the name that it no longer had, and then the claim was
  # answered with a loss: the task was done again.
  Scenario: a run ends between the joining of its renamed entry and the claim
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When the entry loses its lease while its stream is down, and joins under another name
    And one task is done before the claim comes
    Then that task counts as done, and is not started again

  # The end is kept at the agent until its owner would have given the run up.
  Scenario Outline: an end that came while the stream was down is told though more goes wrong
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When its stream ends, one task is done, and <more>
    Then that task counts as done, and is not started again

    Examples:
      | more                                |
      | the entry joins under another name  |
      | the next stream ends before it says |

  # An agent looked 600 ms after a stream had failed whether its entry was there. One whose next stream
  # had failed just then was taken for gone, and all that ran for its callers was stopped.
  Scenario: a stream that fails again is given its whole time to come back
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When its stream fails, comes back after 200 ms, and fails again 300 ms later for 200 ms
    Then the runs go on, and have not been stopped

  Scenario: what runs for an entry that stays away is stopped
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When its stream fails, and stays away for 650 ms
    Then the runs were stopped 600 ms after the stream had failed
