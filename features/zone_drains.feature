Feature: Operators drain an availability zone, and restore it
  No further task is started in a drained zone: entries place no task there, and its agents reject
  the orders that arrive. Present runs continue until they end.

  # The known version of the table, and its sources.

  Scenario: an older version of the table is ignored
    Given a process that knows no drained zones
    Then the zone "moka-hall" is closed
    When version 17 of the table drains "moka-hall"
    And another process sends version 12 without drained zones
    Then the zone "moka-hall" is closed
    And the zone "plaine-nord" is open
    When another process sends version 21 without drained zones
    Then the zone "moka-hall" is open
    When version 19 of the table drains "moka-hall"
    Then the zone "moka-hall" is open

  Scenario: a zone that either of two messages of one version drains is closed, and sent on once
    Given a process that knows no drained zones
    When version 17 of the table drains "moka-hall"
    And another process sends version 17 without drained zones
    Then the zone "moka-hall" is closed
    And it has notified others 1 time
    When another process sends version 18 without drained zones
    Then the zone "moka-hall" is open
    And it has notified others 2 times

  Scenario: an agent reads the table itself only while none of its entries does
    Given an agent whose entry follows the operators' table
    When it sends heartbeats for 2000 ms
    Then the agent does not ask the store
    When its entry is cut off from the store, and 400 ms pass
    Then the agent does not ask the store
    When it sends heartbeats for 500 ms
    Then the agent asks the store
    When its entry follows the table again, and 500 ms pass
    Then the agent has stopped asking

  Scenario: a stale read after the store dropped its history is ignored, and the feed catches up
    Given a process that knows no drained zones
    When version 17 of the table drains "moka-hall"
    And the whole table is read as of version 11, without drained zones
    Then the zone "moka-hall" is closed
    When the feed goes on to version 17, where "moka-hall" is drained
    Then the zone "moka-hall" is closed
    When the feed goes on to version 20, where "moka-hall" is restored
    Then the zone "moka-hall" is open

  Scenario: rows of other kinds and of unknown zones drain no other zone
    Given a process that knows no drained zones
    When version 5 of the table holds "config", "wave/3", "evacuate/" and "evacuate/nowhere"
    Then the zone "moka-hall" is open
    And the drained zones are "nowhere"

  # The agent, which makes the last check.

  Scenario: an agent rejects an order that was in transit when its zone was drained
    Given an agent whose runner has room, in the zone "moka-hall"
    When it learns that "moka-hall" is drained
    And an order to start a task comes
    Then nothing is started, as "zone_closed"
    And entries are told that its runner is "zone_drained" and has no room
    When it learns that no zone is drained
    Then entries are told that its runner is "ready" and has room
    When an order to start a task comes
    Then the task is started

  Scenario: a run in a drained zone continues
    Given an agent whose runner has room, in the zone "moka-hall"
    When an order to start a task comes
    And it learns that "moka-hall" is drained
    Then the task is still held, and its lease is renewed

  Scenario: an agent that has just started starts no task before it knows the drained zones
    Given an agent that has just started, in the zone "moka-hall"
    When an order to start a task comes
    Then nothing is started, as "zone_closed"
    When an entry sends that no zone is drained
    And an order to start a task comes
    Then the task is started

  Scenario: a start whose answer was lost is not sent again into a drained zone
    Given an agent whose runner answers no start, in the zone "moka-hall"
    When an order to start a task comes
    And it learns that "moka-hall" is drained
    Then the start was called once, and its room is held until it can't take effect any more

  # The entry.

  Scenario: an entry places no task in a drained zone until it is restored
    Given an owner that sees a runner with room in each of "plaine-nord" and "moka-hall"
    When "moka-hall" is drained
    And a job of 8 tasks of half a core comes
    Then all 8 tasks go to "plaine-nord"
    When "plaine-nord" and "moka-hall" are drained
    And a job of 8 tasks of half a core comes
    Then none of its tasks is placed
    And the room that peers are told is 0 thousandths, at 0 agents
    When "moka-hall" is restored
    Then all 8 tasks go to "moka-hall"

  Scenario: a job that only drained zones could run is rejected at once
    Given an owner that sees a runner with room in each of "plaine-nord" and "moka-hall"
    When "plaine-nord" and "moka-hall" are drained
    Then a submitted job is unschedulable, unless other entries see agents in open zones
    When "moka-hall" is restored
    Then a submitted job is schedulable
    And a job that needs a label of "plaine-nord" is unschedulable
