Feature: runs of waiting callers continue while their entry's claim is delayed
  An entry that rejoins an agent claims the runs of its callers. Slow links, a paused entry or many
  runs may delay the claim; the runs continue until the grant of the owner's last echo ends.

  # Guards against runs that are lost because the agent stops the runs of a former incarnation after
  # 200 ms. A restarted entry claims nothing, but one that has only lost its lease may need longer to
  # claim them, and names its former incarnations when it joins.
  Scenario Outline: an entry that lost its lease claims its runs late
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When the entry loses its lease while its stream is down, and joins as another incarnation
    And its claim takes <delay> ms
    Then the runs continue, and have <stops>

    Examples:
      | delay | stops            |
      | 0     | not been stopped |
      | 150   | not been stopped |
      | 400   | not been stopped |

  Scenario: runs that an entry does not claim are stopped before their caller may submit again
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When the entry loses its lease while its stream is down, and joins as another incarnation
    And its claim takes 2000 ms
    Then all runs were stopped 850 ms after the owner's last echo at the latest

  # Guards against a task that is done twice: the agent sends the end to the former incarnation, and
  # answers the claim with a loss.
  Scenario: a run ends after its entry has joined as another incarnation and before the claim
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When the entry loses its lease while its stream is down, and joins as another incarnation
    And one task is done before the claim comes
    Then that task counts as done, and is not started again

  # The agent keeps the end until its owner would have given the run up.
  Scenario Outline: an end while the stream is down is sent despite a second failure
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When its stream ends, one task is done, and <more>
    Then that task counts as done, and is not started again

    Examples:
      | more                                   |
      | the entry joins as another incarnation |
      | the next stream ends before it is sent |

  # Guards against an agent that checks for its entry 600 ms after a stream has failed, finds that the
  # next stream has failed just then, and stops the runs of the entry's callers.
  Scenario: an entry whose stream fails again has the whole time to rejoin
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When its stream fails, comes back after 200 ms, and fails again 300 ms later for 200 ms
    Then the runs continue, and have not been stopped

  Scenario: the runs of an entry that does not rejoin are stopped
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When its stream fails, and stays away for 650 ms
    Then the runs were stopped 600 ms after the stream had failed

  # From its last echo to its claim, a renamed entry needs 8 delays, a heartbeat's interval and the pause
  # before the agent connects again: 450 ms and 8 delays, of a grant of 850 ms. Beyond that, the grant
  # must end first: the callers may submit their jobs again.
  Scenario Outline: links delay all messages, and a stream fails at the worst moment
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When its stream delays all by <delay_ms> ms, fails just before an echo comes, and the entry joins under another name
    Then the runs <outcome>

    Examples:
      | delay_ms | outcome                            |
      | 0        | go on, and have never been stopped |
      | 25       | go on, and have never been stopped |
      | 49       | go on, and have never been stopped |
      | 50       | have been stopped                  |
      | 250      | have been stopped                  |

  # The same with real processes. The first entry is cut off from the store until the other one has ended
  # its lease; it returns under another name.
  Scenario Outline: an entry that lost its lease goes on with its callers' runs, real processes
    Given two entries and one agent, with proxies that delay what the first entry exchanges by <delay_ms> ms
    When a caller waits there for a job, the entry is cut off until its lease is ended, and its streams are reset as it returns
    Then no run has been stopped, and the caller has its answer

    Examples:
      | delay_ms |
      | 0        |
      | 25       |
