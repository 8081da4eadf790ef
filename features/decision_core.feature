Feature: The decision core under arbitrary orders of messages, crashes and expiries
  A model drives the real scheduler, ledger and recovery with a seeded search.

  Scenario: Each task starts at most once
    When arbitrary failures are tried with 1 start allowed per task
    Then no promise is broken

  Scenario: Each task starts at most twice where two starts are allowed
    When arbitrary failures are tried with 2 starts allowed per task
    Then no promise is broken

  Scenario Outline: The search finds a broken promise if a mechanism is switched off
    When the same is tried with <mechanism> switched off
    Then a broken promise is found

    Examples:
      | mechanism                                     |
      | fencing                                       |
      | the epoch check                               |
      | tombstones                                    |
      | counting what missing agents may have started |

  Scenario Outline: A cancelled job that was taken over is not run, or not reported as not run
    When the found sequence of a takeover after a cancellation is replayed with closing <state>
    Then <outcome>

    Examples:
      | state | outcome                   |
      | off   | a broken promise is found |
      | on    | no promise is broken      |

  Scenario: A task that ends while a recovery collects holdings is asked for again
    Given a job taken over while one of its tasks runs at an agent
    When the task ends before the recovery is complete
    Then the new owner learns that it is done
