Feature: a short soak with faults from outside

  Scenario Outline: the promises hold while processes, links, store and runners fail
    When the soak runs seed <seed> for <seconds> s
    Then no promise was broken

    Examples:
      | seed | seconds |
      | 10   | 10      |
