Feature: more entries than an agent serves
  Real processes. No agent has a stream to every entry, so what one entry knows must reach the
  agents of others.

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

  # Guards against a cancelled job whose tasks work on: its owner was told by agents that the job is lost
  # to it, before the entry that had cancelled it told that, and stopped no run.
  Scenario Outline: a job that is cancelled at any entry stops at all runners
    Given a platform of 8 entries and 8 agents with proxies before the store
    And 3 stored jobs of 2 steps of 4 tasks of 9000 ms at entry 0
    When 12 tasks have started
    And each job is cancelled at entry 1<lost>, and again at entry <again> if need be
    Then after the time for that no task of these jobs starts or is at work
    And these jobs become "cancelled" at all entries

    Examples:
      | lost                              | again |
      |                                   | 1     |
      | , whose answer the store loses    | 1     |
      | , whose answer the store loses    | 0     |
      | , whose answer the store loses    | 5     |
