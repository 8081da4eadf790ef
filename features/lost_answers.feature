Feature: a runner whose answers get lost
  A runner carries out calls, but some of its answers never arrive. With one pending poll at a time,
  a lost answer hides all ends, and the room that they free, until the poll times out: 200 ms of
  waiting for an end and 150 ms more. Tasks of 110 ms were then seen to end after 150 to 440 ms,
  and each lost answer took the runner's room away: 15 to 25 times within 7 s, an agent logged
  {"event":"runner_unreachable"} and, 15 ms later, {"event":"runner_reachable"}.

  Scenario: ends are seen soon though a quarter of the answers is lost
    Given a controller of a runner that loses every fourth answer
    When 40 runs of 110 ms end there one after the other
    Then at least 30 of 40 ends are seen within 30 ms, and all within 350 ms
    And of the last 24 ends all are seen within 60 ms
    And its room was never reported as zero

  Scenario: ends are seen soon though half of the answers is lost
    Given a controller of a runner that loses every second answer
    When 40 runs of 110 ms end there one after the other
    Then of the last 24 ends all are seen within 80 ms
    And at most 4 polls were pending at once

  Scenario: a runner whose answers arrive has one pending poll at a time
    Given a controller of a runner that loses no answer
    When 10 runs of 110 ms end there one after the other
    Then at most 1 polls were pending at once
    And there was at most 1 poll for each end, and 5 more each second

  Scenario: a runner is polled at the usual rate again some seconds after the last lost answer
    Given a controller of a runner that loses its third answer only
    When the controller runs for 6000 ms
    Then in the last 1000 ms it was polled at most 6 times

  Scenario: one lost answer does not make a runner unreachable
    Given a controller of a runner that loses its third answer only
    When the controller runs for 2000 ms
    Then its room was never reported as zero

  Scenario: a runner that answers nothing any more is unreachable
    Given a controller of a runner that loses all answers from its third on
    When the controller runs for 2000 ms
    Then its room was reported as zero within 450 ms after its last answer
    And in the last 1000 ms it was polled at most 7 times

  Scenario: a lost answer to a start has the runner polled
    Given a controller of a runner that loses no answer
    When the answer to a start is lost 50 ms after a poll began
    Then the run is seen at work 25 ms later at most
    And the start is not sent again

  Scenario: a poll that overlapped a newer one and is answered later changes nothing
    Given two pending polls, the newer of which is answered first
    When the older one, whose snapshot is not newer, is answered
    Then the older snapshot is ignored
    And a snapshot of a poll that began after both is used, whatever its clock

  Scenario: runs that newer snapshots have shown as ended don't come back with older ones
    Given a controller of a runner that answers every other poll 20 ms late, and has lost an answer
    When 40 runs of 110 ms end there one after the other
    Then each end is reported once, and no run is left there

  Scenario: several pending polls do not ask for a longer lease than one
    Given a controller of a runner that loses every second answer
    When its owner sends no echo for 2000 ms
    Then no lease was asked for beyond 1150 ms after the owner's last echo

  Scenario: a runner that is replaced while several polls are pending is gone once
    Given a controller of a runner that loses every second answer
    When another incarnation answers after 1000 ms
    Then its runs are reported as lost once

  # Guards against several polls for each end, and late ones: a runner that keeps an end until its
  # owner has confirmed it answers polls at once meanwhile.
  Scenario Outline: ends that wait for their owner's receipt are polled once and seen soon
    Given a controller of a runner that loses no answer, and an owner that confirms ends after <ms> ms
    When 40 runs of 110 ms end there one after the other
    Then at most 1 polls were pending at once
    And there was at most 1 poll for each end, and 5 more each second
    And at least 40 of 40 ends are seen within 30 ms, and all within 30 ms
    And the runner was told to forget each end

    Examples:
      | ms |
      | 1  |
      | 3  |
      | 15 |

  Scenario: a runner whose ends wait for a silent owner is polled at a limited rate, and seen soon
    Given a controller of a runner that loses no answer, and an owner that confirms nothing
    When 40 runs of 110 ms end there one after the other
    Then in the last 1000 ms it was polled at most 50 times
    And at least 40 of 40 ends are seen within 30 ms, and all within 30 ms

  Scenario: ends that wait for receipts are seen soon though a quarter of the answers is lost
    Given a controller of a runner that loses every fourth answer, and an owner that confirms ends after 3 ms
    When 40 runs of 110 ms end there one after the other
    Then at least 30 of 40 ends are seen within 30 ms, and all within 350 ms
    And of the last 24 ends all are seen within 60 ms
