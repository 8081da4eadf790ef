Feature: Entries judge new jobs by what waits at all entries and by the room that becomes free
  An entry that knew only its own last second took jobs that then waited until they were given up:
  four of five refusals came after a wait. Agents tell what other entries wait for, and which room
  ends soon.

  Scenario: uneven entries refuse at once what they would give up later
    When the load "uneven entries" of the seeds 1 and 2 is played with and without "fleet_admission"
    Then at most 40% of the refusals come after a wait
    And more of the refusals come after a wait without it by 0.4 or more
    And no less is earned than without it, within 0.01

  Scenario: what others wait for is ahead, also while nothing waits here
    Given an entry whose 2 runners are full
    When the agents tell that 2000 end soon, and others for 6000 of priority 0
    Then a job of priority 0 would wait for 300 ms behind 12000, and is refused
    And a job of priority 0 is taken where the agents tell nothing of others

  Scenario: work of less urgent queues is not ahead
    Given an entry whose 2 runners are full
    When the agents tell that 2000 end soon, and others for 6000 of priority 1
    Then a job of priority 0 is taken
    And a job of priority 1 is refused

  Scenario: a caller is told to come back when the work ahead is done, however much that is
    Given an entry whose 2 runners are full
    When the agents tell that 0 end soon, and others for 6000 of priority 0
    Then a job of priority 0 would wait for 5000 ms behind 12000, and is refused

  Scenario Outline: an entry that does not hear its agents goes by its own backlog
    Given an entry whose 2 runners are full
    When the agents tell that 2000 end soon, and others for 6000 of priority 0
    And <what happens>
    Then the outlook is not known, and a job of priority 0 is taken

    Examples:
      | what happens                                        |
      | nothing more is heard for 1001 ms                   |
      | the agents restart and join under a new life        |
      | the agents' streams end and they join anew          |
      | the agents are of a version that tells only of room |

  Scenario: rows that can't be read are passed over and counted
    Given an entry whose 2 runners are full
    When an agent tells rows of which 3 can't be read
    Then the other row counts, and 3 rows are passed over

  Scenario: the store is not asked, so a job is judged alike while it is away
    Given an entry whose 2 runners are full
    When the agents tell that 2000 end soon, and others for 6000 of priority 0
    And no lease of another entry can be read
    Then a job of priority 0 would wait for 300 ms behind 12000, and is refused

  Scenario: a lost zone frees nothing more at once
    Given an entry whose 2 runners are full
    When the agents tell that 2000 end soon, and others for 6000 of priority 0
    And the zone of one of them is drained
    Then 20000 becomes free a second
    When the other agent's stream has ended
    Then the outlook is not known, and a job of priority 0 is taken

  Scenario: an agent adds up what entries wait for, and forgets one whose stream has ended
    Given an agent of the entries "one", "two" and "three"
    When each entry tells that it waits for 1000 with priority 0
    Then entry "one" is told that others wait for 2000
    When the stream of entry "two" ends
    Then entry "one" is told that others wait for 1000
    When entry "three" tells of a backlog that can't be read
    Then entry "one" is told that others wait for 0, and the agent has passed over 1 row

  Scenario: a queue that is gone from the configuration counts until its last job has ended
    Given an entry whose 2 runners are full
    When a job of a queue waits that the configuration does not have any more
    Then each of 2 agents is told of a part of 250 with priority 0
    When the job is dropped
    And 500 ms pass
    Then the agents are told of nothing

  Scenario: room ends soon by the progress of runs, and by their estimates before that
    Given a runner with these runs
      | estimate | percent | age | room |
      | 400      | 0       | 320 | 1000 |
      | 400      | 0       | 200 | 2000 |
      | 400      | 50      | 90  | 3000 |
      | 100      | 20      | 200 | 4000 |
    Then 4000 ends soon
    When the runner is suspect
    Then 0 ends soon
