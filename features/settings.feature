Feature: Each settings change is accepted once, comes into force everywhere and never reverts

  Background:
    Given a system of 2 entries and 2 runners

  Scenario: A change is in force at every entry and agent within eight seconds
    When "team_weight" of "team/schools" is set to 3 at entry 0
    Then version 1 is in force everywhere within 8000 ms
    And entry 1 has 3 for "team_weight" of "team/schools" from "team/schools"
    And entry 1 has 1 for "team_weight" of "team/hotels" by default

  Scenario: Two operators change the same version, and one gets a conflict
    When two operators change "team_weight" of "team/schools" on the same version
    Then one of them gets the code "version_conflict"
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

  Scenario: An entry that restarts while the store is down gets the newest settings from agents
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

  Scenario: No task starts in a drained availability zone, and waiting tasks are placed elsewhere
    When an operator drains the zone of agent 1 by the command line
    Then version 1 is in force everywhere within 8000 ms
    When a job "zone-1" of 12 tasks is submitted
    Then its answer is complete, and no task of it was started at agent 1
    And the placements of "zone-1" are explained with a drained zone
    And the audit trail has 1 change
    When the operator restores that zone
    Then version 2 is in force everywhere within 8000 ms
    When a job "zone-2" of 40 tasks is submitted
    Then tasks of it were started at agent 1

  Scenario: Tasks wait while a zone is drained, and explain shows it
    When an operator drains the zone of agent 1 by the command line
    Then version 1 is in force everywhere within 8000 ms
    When a job "zone-3" is submitted with twice as many tasks as the other runner has slots
    Then the explanation of "zone-3" has tasks that waited while a zone was drained
