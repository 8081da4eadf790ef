Feature: a process tells why it came late
  Runs lapse and owners give agents up if a process stands still. Only the process itself can tell
  whether its machine did not run it, it was busy, or it waited in a call.

  # Guards against a process that blocks its own loop and is taken for one that was not run.
  Scenario Outline: the cause of a stall is told
    Given a process that checks itself every 250 ms
    When a check comes 600 ms late, after <used> ms at work, <ready> ms ready to run, <asleep> ms suspended
    Then its log tells of a stall of 600 ms: "<cause>"
    And its counter of stalls is 1

    Examples:
      | used | ready   | asleep | cause     |
      | 5    | 550     | 0      | not_run   |
      | 600  | 20      | 0      | busy      |
      | 5    | 20      | 0      | blocked   |
      | 5    | unknown | 0      | blocked   |
      | 5    | 0       | 600    | suspended |

  Scenario: a process that was not run between its checks tells so
    Given a process that checks itself every 250 ms
    When a check comes 0 ms late, after 5 ms at work, 120 ms ready to run, 0 ms suspended
    Then its log tells of a stall of 0 ms: "not_run"

  Scenario: a process that is in time tells nothing
    Given a process that checks itself every 250 ms
    When a check comes 50 ms late, after 200 ms at work, 90 ms ready to run, 0 ms suspended
    Then its log tells of no stall

  Scenario Outline: a real process tells the cause of its own stall
    When a process <does> for 600 ms
    Then its log tells of a stall of at least 300 ms: "blocked"

    Examples:
      | does                 |
      | sleeps in a call     |
      | is stopped by signal |

  Scenario: a real process tells the processor time that it used while it was late
    When a process computes for 600 ms
    Then its log tells of a stall of at least 300 ms, and of at least 590 ms at work

  # Guards against a scenario that starts over for a fault of the product.
  Scenario Outline: a play has no verdict only if a process of it was not run for so long
    Given a log of a process with a stall: "<phase>", "<cause>", <late> ms late, not run for <ready> ms
    Then a play that bears 300 ms, and 700 ms of a start, <has> a verdict

    Examples:
      | phase   | cause   | late | ready | has    |
      | running | not_run | 400  | 390   | has no |
      | running | not_run | 400  | 250   | has    |
      | running | not_run | 120  | 390   | has    |
      | running | busy    | 400  | 320   | has    |
      | running | blocked | 400  | 10    | has    |
      | start   | not_run | 390  | 390   | has    |
      | start   | not_run | 710  | 710   | has no |

  # Guards against a process that can't tell a wait for its machine, and does not say so.
  Scenario: a process whose kernel has no scheduler statistics tells so once
    Given a process that can't read how long it was not run
    When it checks itself 3 times
    Then its log tells once that this is unknown
