Feature: Runners that differ in speed, and tasks whose data are on one rack
  A quarter of the runners is slow and a quarter fast, stated work is 40% off, and a task away from
  its data takes three times as long. An objective leaves a job 1.6 times its work, so that a wide
  or long job is late if one of its tasks goes to the wrong runner.

  # The speed of a runner, as its agent measures it.

  Scenario: a task that takes many times as long as others does not make its runner slow
    Given a runner whose agent has just started
    When it does 12 runs of 100 ms each in 110 ms, until 2000 ms
    And it does 1 runs of 100 ms each in 700 ms, until 2000 ms
    And a run of 100 ms is projected to take 700 ms in all, five times, until 2100 ms
    Then its slowness is 1100 by 14 runs at 2100 ms

  Scenario: a slow period is detected within a second, and forgotten
    Given a runner whose agent has just started
    When it does 24 runs of 100 ms each in 100 ms, until 2000 ms
    And it does 13 runs of 100 ms each in 300 ms, until 3000 ms
    Then its slowness is 3000 by 24 runs at 3000 ms
    When it does 13 runs of 100 ms each in 100 ms, until 4000 ms
    Then its slowness is 1000 by 24 runs at 4000 ms
    And its slowness is 0 by 0 runs at 14100 ms

  Scenario: a slow runner without work stays known as slow for about 10 s
    Given a runner whose agent has just started
    When it does 24 runs of 100 ms each in 170 ms, until 2000 ms
    Then its slowness is 1700 by 24 runs at 11900 ms
    And its slowness is 0 by 0 runs at 12100 ms

  Scenario: a restarted agent measures its runner's speed within a second
    Given a runner whose agent has just started
    Then its slowness is 0 by 0 runs at 1000 ms
    When a run that was found there ends at 1100 ms
    Then its slowness is 0 by 0 runs at 1100 ms
    When it does 6 runs of 100 ms each in 170 ms, until 1900 ms
    Then its slowness is 1700 by 6 runs at 1900 ms

  Scenario: a runner that fails its runs at once does not count as fast
    Given a runner whose agent has just started
    When it fails 3 runs of 100 ms each in 1 ms, until 2000 ms
    Then its slowness is 0 by 0 runs at 2000 ms
    And it is suspect

  Scenario: a run that was stopped while it was slow is not counted any more
    Given a runner whose agent has just started
    When a run of 100 ms is projected to take 700 ms in all, five times, until 2100 ms
    And it is stopped at 2200 ms
    Then its slowness is 0 by 0 runs at 2200 ms

  Scenario: an agent of an earlier version reports no number of runs
    When a room report comes without the number of runs
    Then it is taken with 0 runs

  # Placement.

  Scenario: tasks on an even fleet are placed as if no speeds were known
    Given 20 runners of which the slowest takes 1.5 times as long as the fastest
    And 20 runners of which nothing is known
    Then 200 tasks go to the same runners of both

  Scenario Outline: few runs do not establish a runner's speed
    Given a quarter of 20 runners slow and a quarter fast, by <runs> runs each
    Then placement <heeds> how fast they are

    Examples:
      | runs | heeds  |
      | 5    | ignores |
      | 6    | heeds  |

  Scenario: where all runners are slow, none is avoided
    Given 20 runners that all take 4.0 times as long as stated
    Then placement ignores how fast they are
    And of 100 tasks of 1000 ms 0 have to wait

  Scenario: a fast runner takes more than a slow one
    Given a quarter of 20 runners slow and a quarter fast, by 24 runs each
    Then of 200 tasks of 100 ms at least 70 go to fast runners and at most 10 to slow ones
    And of 200 tasks of 1500 ms at least 70 go to fast runners and at most 0 to slow ones

  Scenario Outline: a slow runner takes what still ends in time there, or what is late in any case
    Given a quarter of 20 runners slow and a quarter fast, by 24 runs each
    And only the slow ones have room
    Then a task of <work> ms that has waited for <waited> ms <goes>

    Examples:
      | work | waited | goes                  |
      | 100  | 0      | goes to a slow runner |
      | 100  | 60     | waits                 |
      | 1500 | 300    | waits                 |
      | 1500 | 1200   | waits                 |
      | 1500 | 1700   | goes to a slow runner |

  Scenario Outline: a task goes near its data, and farther where it still ends in time
    Given 20 runners on racks of 5, and tasks that take <far> times as long away from their data
    And on rack "rack-1" there is <room>
    Then a task of 1000 ms with data on "rack-1" that has waited for <waited> ms <goes>

    Examples:
      | far | room    | waited | goes                   |
      | 3.0 | room    | 0      | goes to rack "rack-1"  |
      | 3.0 | no room | 0      | waits                  |
      | 3.0 | no room | 700    | goes to another rack   |
      | 1.5 | no room | 0      | goes to another rack   |
      | 1.5 | no room | 300    | waits                  |
      | 3.0 | nobody  | 0      | goes to another rack   |

  Scenario: the estimate in an order includes the distance to the task's data
    Given an entry that sees one runner on "rack-2", far tasks taking 3.0 times as long
    When a task of 100 ms with data on "rack-1" is late for its rack and goes there
    Then the agent is told that it takes 300 ms

  Scenario: jobs that wait for better runners hold up no others
    Given an entry that sees one runner on "rack-2", far tasks taking 3.0 times as long
    And a runner on "rack-1" without room
    When 20 jobs of 1000 ms with data on "rack-1" and one without data are submitted
    Then the one without data is ordered
    And the others are held as "late_where_room_is"

  # Task durations of queues, as an entry learns them.

  Scenario: typical and rare durations of a queue are learned from runners of any speed
    Given ends of 970 tasks of 100 ms and of 30 that take seven times as long, mostly at slow runners
    Then half of its tasks end within 1.0 times their stated work, and 99% within 7.0 times
    And nothing is known of a queue with 19 ends

  Scenario: an entry learns durations from the ends of its own tasks
    Given an entry that sees one runner on "rack-2", far tasks taking 3.0 times as long
    When 100 jobs of 100 ms end there, each 200 ms after its start
    Then half of the tasks of the queue end within 2.0 times their stated work

  # The worth to callers, by replays of loads.

  Scenario: at half of the room, nearly all jobs end in time on runners of uneven speed
    When the load "uneven runners" of the seeds 1 and 2 is played with and without "runner_speeds"
    Then at least 98% of the worth is earned, and 90% of any kind and size of job
    And less is earned without it by 0.03 or more
    And the mark is lower without it by 0.06 or more
    And more of the jobs end late without it by 0.005 or more

  Scenario: under high load, tasks do not begin at runners where they end late
    When the load "busy uneven runners" of the seeds 1 and 2 is played with and without "waiting_for_better"
    Then at least 88% of the worth is earned, and 65% of any kind and size of job
    And less is earned without it by 0.1 or more
    And more of the jobs end late without it by 0.05 or more
