Feature: a runner whose answers get lost
  A runner runs what it is told, and some of its answers never come. One look waited up to 200 ms
  for an end and was given up 150 ms later, so that each lost answer hid all ends, and the room that
  they freed, for up to 350 ms: tasks of 110 ms were seen to end after 150 to 440 ms, and at each
  lost answer entries were told that there is no room. In the log: {"event":"runner_unreachable"}
  and, 15 ms later, {"event":"runner_reachable"}, 15 to 25 times within 7 s at a runner.

  Scenario: ends are seen soon though a quarter of the answers is lost
    Given a keeper of a runner that loses every fourth answer
    When 40 runs of 110 ms end there one after the other
    Then at least 30 of 40 ends are seen within 30 ms, and all within 350 ms
    And of the last 24 ends all are seen within 60 ms
    And its room was never taken away

  Scenario: ends are seen soon though half of the answers is lost
    Given a keeper of a runner that loses every second answer
    When 40 runs of 110 ms end there one after the other
    Then of the last 24 ends all are seen within 80 ms
    And at most 4 looks were under way at once

  Scenario: a runner whose answers come is looked at once at a time
    Given a keeper of a runner that loses no answer
    When 10 runs of 110 ms end there one after the other
    Then at most 1 looks were under way at once
    And there was at most 1 look for each end, and 5 more each second

  Scenario: a runner is looked at as before some seconds after the last answer was lost
    Given a keeper of a runner that loses its third answer only
    When it is kept for 6000 ms
    Then in the last 1000 ms it was looked at at most 6 times

  Scenario: one lost answer takes no room away
    Given a keeper of a runner that loses its third answer only
    When it is kept for 2000 ms
    Then its room was never taken away

  Scenario: a runner that answers nothing any more can't be reached
    Given a keeper of a runner that loses all answers from its third on
    When it is kept for 2000 ms
    Then its room was taken away within 450 ms after its last answer
    And in the last 1000 ms it was looked at at most 7 times

  Scenario: a lost answer of a start makes the runner be looked at
    Given a keeper of a runner that loses no answer
    When 50 ms after a look began the answer of a start is lost
    Then the run is seen at work 25 ms later at most
    And the start is not sent again

  Scenario: a look that overlapped a newer one and comes later changes nothing
    Given two looks under way, the newer of which is answered first
    When the older one, whose picture is not newer, is answered
    Then the older look is passed over
    And a look that began after both is taken, whatever its clock

  Scenario: runs that newer looks have shown as ended don't come back with older ones
    Given a keeper of a runner that answers every other look 20 ms late, and has lost an answer
    When 40 runs of 110 ms end there one after the other
    Then each end is told once, and nothing is left there

  Scenario: no lease is asked for longer while several looks are under way
    Given a keeper of a runner that loses every second answer
    When its owner falls silent for 2000 ms
    Then no lease was asked for beyond 1150 ms after the owner's last word

  Scenario: a runner that is replaced while several looks are under way is gone once
    Given a keeper of a runner that loses every second answer
    When another incarnation answers after 1000 ms
    Then its runs are told as lost once
