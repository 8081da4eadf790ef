Feature: a short soak with faults from outside
  Processes, links, the store and runners fail alone, in series and in herds; callers leave, give up,
  and submit again as soon as they may.

  Scenario: the promises hold, a small system
    When the soak runs seed 10 for 10 s
    Then no promise was broken
    And callers have submitted again

  # Ends of an earlier submission counted for the present one: two as done, three as stopped.
  Scenario: the promises hold while streams fail again and again and callers come back
    When the soak runs seed 3001 for 12 s
    Then no promise was broken
    And callers have submitted again

  Scenario: the promises hold, more processes and callers
    When the soak runs seed 600 for 10 s with 4 entries, 8 agents and 20 callers
    Then no promise was broken
    And callers have submitted again
