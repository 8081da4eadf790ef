Feature: the platform path while availability zones are drained
  Real processes; runners record every start, which shows the starts since a drain.

  Scenario: nothing starts in a drained zone until it is restored, and what runs there ends
    Given a platform with 2 entries and 3 agents
    When the waiting job "0000000000000e01" of 60 tasks of 900 ms is on its way at entry 0
    And 60 tasks have started
    And operators drain the zones "moka-hall"
    And entries and agents know of it
    And stored jobs come without pause for 1500 ms
    Then no task has started in "moka-hall" since it was drained
    And the waiting caller is told "succeeded"
    When operators restore all zones
    And entries and agents know of it
    And stored jobs come without pause for 1500 ms
    Then tasks have started in "moka-hall" again

  Scenario: all zones are drained
    Given a platform with 2 entries and 3 agents
    When operators drain the zones "plaine-nord moka-hall curepipe-hall"
    And entries and agents know of it
    And 2 s have passed
    And the waiting job "0000000000000e02" of 2 tasks of 50 ms is submitted at entry 0
    Then the answer has status 503
    When the stored job "0000000000000e03" of 2 tasks of 50 ms is submitted at entry 1
    Then the answer has status 200
    When operators restore all zones
    Then the job "0000000000000e03" becomes "succeeded" at entry 1
    And nobody has started a task of "0000000000000e02"

  Scenario: an agent that starts in a drained zone, and one that was frozen, start nothing
    Given a platform with 2 entries and 3 agents
    When operators drain the zones "moka-hall"
    And entries and agents know of it
    And process agent-1 is killed and started again
    And process agent-1 is frozen for 1 s
    And stored jobs come without pause for 2500 ms
    Then no task has started in "moka-hall" since it was drained

  Scenario: all processes start again while a zone is drained
    Given a platform with 2 entries and 3 agents
    When operators drain the zones "moka-hall"
    And entries and agents know of it
    And all entries and agents are killed and started again
    And stored jobs come without pause for 3000 ms
    Then no task has started in "moka-hall" since it was drained

  Scenario: an agent restarts while a zone is drained and the store is unavailable
    Given a platform with 2 entries and 3 agents
    When operators drain the zones "moka-hall"
    And entries and agents know of it
    And the store is in "outage"
    And process agent-1 is killed and started again
    And waiting jobs come without pause for 2000 ms
    Then no task has started in "moka-hall" since it was drained
    And tasks have started elsewhere since then

  Scenario: an agent that is cut off from the store learns of a drain from entries
    Given a platform with 2 entries and 3 agents, of which agent 1 is cut off from the store
    When operators drain the zones "moka-hall"
    And entries know of it
    And stored jobs come without pause for 1500 ms
    Then agent 1 was told of the drain by an entry
    And no task has started in "moka-hall" since it was drained

  Scenario: an entry that is cut off from the store learns of a drain from agents
    Given a platform with 2 entries and 3 agents, of which entry 1 is cut off from the store
    When operators drain the zones "moka-hall"
    Then entry 1 is told of the drain by an agent

  Scenario: agents learn of a drain from the operators' table if their entry is cut off from the store
    Given a platform with 1 entries and 3 agents, of which entry 0 is cut off from the store
    When operators drain the zones "moka-hall"
    Then an agent learns of the drain from the operators' table, and all are told
    When waiting jobs come without pause for 1500 ms
    Then no task has started in "moka-hall" since it was drained
