Feature: a runner that leaves a stop unanswered takes nothing that could not begin there
  A lease is one for all that runs at a runner. It is not renewed beyond the hold of a run that is to be
  stopped, so it runs out while a stop stays unanswered.

  # Orders were taken until the lease had run out. Their starts had a few ms to take effect, and were
  # rejected as late again and again for up to 0.3 s.
  Scenario Outline: room while a stop stays unanswered
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When the caller leaves, and the runner leaves the stops unanswered for <passed> ms
    Then another entry is told of <room> there, and its order is <fate>

    Examples:
      | passed | room    | fate    |
      | 250    | room    | taken   |
      | 1000   | no room | refused |
      | 1250   | no room | refused |

  Scenario: the runner has room again once the run is over
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When the caller leaves, and the runner leaves the stops unanswered for 1250 ms
    And its lease lapses, and a look shows that
    Then another entry is told of room there, and its order is taken
