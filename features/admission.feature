Feature: a job is not refused as overload while there is room for it
  The wait of a new job is estimated from the work ahead and the rate at which work was placed lately.

  # Guards against refusals at an entry that has just started, or placed little, and gets several jobs
  # at once: by its low placement rate any queued work looks like a long wait, though cores are free.
  Scenario Outline: an entry that has placed little lately
    Given an owner that sees one runner
    And the agent tells that it holds nothing
    And <waiting> jobs of 1 tasks that have just come, at an entry that has placed little lately
    Then a new job of <tasks> tasks is <fate>

    Examples: the runner has room for 8 tasks
      | waiting | tasks | fate     |
      | 1       | 1     | admitted |
      | 4       | 4     | admitted |
      | 5       | 4     | refused  |
      | 1       | 8     | refused  |
