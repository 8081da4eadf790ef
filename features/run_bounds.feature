Feature: a run is over before its task may be started anew
  The margins of docs/RUN-BOUNDS.md, computed from the constants of agent, entry and settings. Guards
  against a bound that is consistent in one process and wrong against a value of another.

  Scenario Outline: a waiting caller's runs end before the job is submitted again
    Given callers that submit again after <resubmit_ms> ms, and leases of at most <lease_ms> ms
    Then a waiting caller's run ends by itself at least 75 ms before that, on a runner's slow clock
    And two missed heartbeats do not make its stop due

    Examples:
      | resubmit_ms | lease_ms |
      | 1300        | 1000     |
      | 1300        | 2000     |
      | 1600        | 1000     |
      | 5000        | 1000     |

  Scenario: a durable job's runs end before its owner, or the next one, starts their tasks anew
    Given callers that submit again after 1300 ms, and leases of at most 1000 ms
    Then a durable job's run ends by itself at least 400 ms before the silence limit

  Scenario: a silent stream is replaced before the runs of its entry are stopped
    Given callers that submit again after 1300 ms, and leases of at most 1000 ms
    Then a silent stream is closed at least 75 ms before the first stop is due

  Scenario: a renamed entry claims its runs in time over links that delay all messages
    Given callers that submit again after 1300 ms, and leases of at most 1000 ms
    Then it does so over links of up to 49 ms in each direction, whenever its stream fails

  Scenario: the lease of an unreachable runner has lapsed before the agent gives its runs up
    Given callers that submit again after 1300 ms, and leases of at most 1000 ms
    Then a runner's slow clock has passed the end of the lease at least 100 ms before

  Scenario: an entry has stopped acting before its peers end its lease
    Then it has stopped at least 500 ms before
