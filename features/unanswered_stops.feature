Feature: a runner with an unanswered stop gets no run that could not begin before its lease ends
  All runs at a runner share one lease. It is not renewed beyond the limit of a run that is to be
  stopped, so it runs out while a stop stays unanswered.

  # Agents accepted orders until the lease had run out. The starts had a few ms to take effect, and
  # the runner rejected them as late again and again for up to 0.3 s.
  Scenario Outline: room while a stop stays unanswered
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When the caller leaves, and the runner leaves the stops unanswered for <passed> ms
    Then another entry is sent <room> there, and its order is <fate>

    Examples:
      | passed | room    | fate    |
      | 250    | room    | taken   |
      | 1000   | no room | refused |
      | 1250   | no room | refused |

  Scenario: the runner has room again once the run is over
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When the caller leaves, and the runner leaves the stops unanswered for 1250 ms
    And its lease lapses, and a poll shows that
    Then another entry is sent room there, and its order is taken
