Feature: a run is over before its task may be started anew
  Each margin of docs/RUN-BOUNDS.md, computed from the constants of both sides and the settings. A
  bound that one side derives from a figure that the other side never sees looks right on each side.

  Scenario Outline: what runs for a waiting caller is over before the job is submitted again
    Given callers that submit again after <resubmit_ms> ms, and leases of at most <lease_ms> ms
    Then a waiting caller's run ends by itself at least 75 ms before that, on a runner's slow clock
    And its stop is due while two beats may still be missed

    Examples:
      | resubmit_ms | lease_ms |
      | 1300        | 1000     |
      | 1300        | 2000     |
      | 1600        | 1000     |
      | 5000        | 1000     |

  Scenario: what runs for a stored job is over before its owner, or the next one, starts it anew
    Given callers that submit again after 1300 ms, and leases of at most 1000 ms
    Then a stored job's run ends by itself at least 400 ms before the limit of silence

  Scenario: a stream that went silent is replaced before what runs for its entry is stopped
    Given callers that submit again after 1300 ms, and leases of at most 1000 ms
    Then a silent stream is cut at least 75 ms before the first stop is due

  Scenario: a runner that can't be reached has let all lapse before that is believed
    Given callers that submit again after 1300 ms, and leases of at most 1000 ms
    Then its slow clock has passed the end of the lease at least 100 ms before

  Scenario: an entry has stopped acting before others end its lease
    Then that is at least 500 ms before
