Feature: Settings are accepted once, in force everywhere, and never revert

  Background:
    Given a system of 2 entries and 2 runners

  Scenario: A change is in force at every entry and agent within eight seconds
    When "team_weight" of "team/schools" is set to 3 at entry 0
    Then version 1 is in force everywhere within 8000 ms
    And entry 1 has 3 for "team_weight" of "team/schools" from "team/schools"
    And entry 1 has 1 for "team_weight" of "team/hotels" from nowhere

  Scenario: Operators race, and the loser is told
    When two operators change "team_weight" of "team/schools" on the same version
    Then one of them is told "version_conflict"
    And the audit trail has 1 change

  Scenario: The answer to a change is lost after its effect
    Given the store loses 1 answers for "config/"
    When "team_weight" of "team/schools" is set to 3 at entry 0
    Then the change is accepted as version 1
    And the audit trail has 1 change

  Scenario: An invalid change is refused with every finding and changes nothing
    When a change with 3 faults is sent to entry 0
    Then the call fails with status 400 and code "invalid_input"
    And there are 3 findings
    And the audit trail has 0 changes

  Scenario: A replaced entry comes back with the store down and does not revert
    When "team_weight" of "team/schools" is set to 3 at entry 0
    Then version 1 is in force everywhere within 8000 ms
    Given the store has an outage for ""
    When entry 1 is killed
    And entry 1 is started again
    Then entry 1 has 3 for "team_weight" of "team/schools" from "team/schools"

  Scenario: A stale read of the store does not revert what is in force
    When "team_weight" of "team/schools" is set to 3 at entry 0
    And "team_weight" of "team/schools" is set to 4 at entry 0
    Then version 2 is in force everywhere within 8000 ms
    When the store answers with the settings of version 1
    Then entry 1 has 4 for "team_weight" of "team/schools" from "team/schools"

  Scenario: Wrong and missing credentials are refused
    When the settings are changed with the token "wrong"
    Then the call fails with status 401 and code "unauthorized"
    When the settings are changed with the token "caller-token"
    Then the call fails with status 403 and code "forbidden"

  Scenario: Nothing starts in a drained availability zone, and what waits there goes elsewhere
    When an operator drains the zone of agent 1 by the command line
    Then version 1 is in force everywhere within 8000 ms
    When a job "zone-1" of 12 tasks is submitted
    Then its answer is whole, and no task of it was started at agent 1
    And explaining "zone-1" tells that a zone was drained
    And the audit trail has 1 change
    When the operator restores that zone
    Then version 2 is in force everywhere within 8000 ms
    When a job "zone-2" of 40 tasks is submitted
    Then tasks of it were started at agent 1

  Scenario: A task waits for a drained zone, and explain says so
    When an operator drains the zone of agent 1 by the command line
    Then version 1 is in force everywhere within 8000 ms
    When a job "zone-3" is submitted whose tasks fill the other runner twice
    Then explaining "zone-3" tells that tasks waited while a zone was drained
