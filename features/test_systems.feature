Feature: test systems on one machine do not disturb each other

  # Guards against "Address already in use": a free port that was found for one system is taken by
  # another before its process listens, and the scenario times out waiting for its entry.
  Scenario: systems that start at the same time get different ports
    When 3 processes look for 150 ports each at the same time
    Then no port was given to two of them

  # Guards against a start that waits until each agent serves all entries, as an agent serves four.
  Scenario: a system with more entries than an agent serves starts
    Given a platform with 6 entries and 3 agents
    Then its entries see all of its runners
