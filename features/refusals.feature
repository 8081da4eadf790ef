Feature: what callers are told when a job does not run where it was handed in
  No processes, no network; the time is given.

  # Entries that were stopped in turn answered 503 to jobs that would not have ended before the entry
  # did. To a caller that means that the job never runs, so the largest jobs of a queue were lost
  # though all other entries could serve them, and their slack is longer than the caller's pause.
  Scenario Outline: an entry that leaves sends a job elsewhere that it can't finish
    Given an entry that ends in <left> ms
    When a caller hands in a waiting job of <work> ms there
    Then the answer is <answer>

    Examples:
      | left | work | answer      |
      | 5500 | 3000 | none yet    |
      | 5500 | 4000 | 502 leaving |
      | 2500 | 2600 | 502 leaving |
      | 2500 | 500  | none yet    |
      | 1    | 0    | 502 leaving |

  # It would be late elsewhere for certain, and it may end in time here.
  Scenario: an entry that leaves tries a job that would be late elsewhere and fits as stated
    Given an entry that ends in 1500 ms
    When a caller hands in a waiting job of 1000 ms there
    Then the answer is none yet

  Scenario: a job that was sent elsewhere has not run, and its log line says when to come back
    Given an entry that ends in 1000 ms
    When a caller hands in a waiting job of 4000 ms there
    Then the answer is 502 leaving
    And nothing has begun, and the answer says so and when to come back
    And a line "job_refused" tells the reason "leaving" and the status 502

  # Stored jobs are handed over with what runs of them, so their length doesn't matter.
  Scenario Outline: an entry that leaves stores a job while it holds its lease
    Given an entry that ends in 1000 ms
    And its lease is <lease>
    When a caller hands in a stored job of 4000 ms there
    Then the answer is <answer>

    Examples:
      | lease    | answer      |
      | held     | 200 stored  |
      | given up | 502 leaving |

  # The load: entries have 6 s from SIGTERM, callers still reach them for the first seconds, and a
  # queue's work is 0.7 s to 10 s, 40% off as stated.
  Scenario: long jobs that reach entries which are stopped in turn are lost nowhere
    Given 2000 long jobs that reach an entry in its last 5500 ms, of callers that come back after 1300 ms
    When the entry takes those for which it has time
    Then of those that it sends elsewhere, 9 in 10 of the longest half end in time there
    And of those that it takes, fewer than 1 in 20 are cut off at its end
