Feature: test systems on one machine do not disturb each other

  # A port was looked up as free and taken by another system before its process listened: "Address
  # already in use" in a log, and a scenario that waited in vain for its entry.
  Scenario: systems that start together get ports of their own
    When 3 processes look for 150 ports each at the same time
    Then no port was given to two of them

  # The soak waited until each agent served all entries; an agent serves four.
  Scenario: a system with more entries than an agent serves starts
    Given a platform with 6 entries and 3 agents
    Then its entries see all of its runners
