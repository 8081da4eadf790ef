Feature: the store rejects some processes and serves the others
  Real processes, with more entries than an agent serves.

  # Guards against work that is done again after a takeover: agents that kept their stream to the former
  # owner did not tell the new one of the ends that they held.
  Scenario Outline: work that is done while the store rejects its owner is not done again
    Given a platform of 8 entries and 8 agents with proxies before the store
    And 8 stored jobs of 2 steps of 2 tasks of 300 ms at <owners>
    When the store rejects <rejected> for 9 s, by <answer>
    Then these jobs become "succeeded" at all entries
    And no task was started after an end of it that counts

    Examples:
      | owners             | rejected                      | answer |
      | entry 0            | entry 0                       | 503    |
      | entry 0 and entry 1| both, and every second agent  | reset  |
