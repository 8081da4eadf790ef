Feature: Urgent work finds room beside long work that can wait
  Guards against a most urgent queue that is served worst: a burst of long jobs of the least urgent
  queue fills the fleet, runners leave, and long tasks take all room that becomes free before the
  urgent burst. They hold it for 1.8 s, while an urgent job can wait for 0.1 s. So room is reserved
  for the usual demand of urgent queues.

  Scenario: the most urgent queue is served no worse than the least urgent one
    When the load "competing" of the seeds 1 and 2 is played with and without "room_shares"
    Then queue "previews" earns no smaller share than "runs"
    And without it queue "previews" earns 0.03 less
    And the whole earns as much as without it, to 0.01

  Scenario: room is reserved from less urgent queues while the urgent demand is unused
    Given an agent that receives the demand of queues
      | entry   | queue    | priority | run_ms | patience_ms | asked_ppm | deviation_ppm |
      | entry-1 | previews | 0        | 120    | 60          | 60000     | 60000         |
      | entry-2 | previews | 0        | 120    | 60          | 60000     | 80000         |
      | entry-1 | payroll  | 2        | 1200   | 500         | 400000    | 90000         |
    Then of a runner of 10000 with these uses, this much is reserved
      | previews | payroll | from     | kept |
      | 0        | 9000    | payroll  | 190  |
      | 0        | 9000    | previews | 0    |
      | 0        | 9000    | others   | 0    |
      | 4100     | 5000    | payroll  | 95   |
      | 4300     | 5000    | payroll  | 0    |

  Scenario: tasks that end while urgent work can wait may use all the room
    Given an agent that receives the demand of queues
      | entry   | queue    | priority | run_ms | patience_ms | asked_ppm | deviation_ppm |
      | entry-1 | previews | 0        | 120    | 60          | 120000    | 100000        |
      | entry-1 | pings    | 1        | 40     | 50          | 400000    | 90000         |
    Then of a runner of 10000 with these uses, this much is reserved
      | previews | pings | from  | kept |
      | 0        | 9000  | pings | 0    |

  Scenario: a queue that asks for more than its fair share leaves room to others of its priority
    Given an agent that receives the demand of queues
      | entry   | queue | priority | run_ms | patience_ms | asked_ppm | deviation_ppm | weight |
      | entry-1 | one   | 0        | 1000   | 0           | 900000    | 100000        | 1      |
      | entry-1 | two   | 0        | 1000   | 0           | 200000    | 100000        | 1      |
    Then of a runner of 10000 with these uses, this much is reserved
      | one  | two  | from | kept |
      | 9000 | 0    | one  | 200  |
      | 8000 | 2000 | one  | 0    |
      | 9000 | 0    | two  | 0    |

  Scenario: operators reserve a share of the room for a queue, and limit another queue
    Given an agent that receives the demand of queues
      | entry   | queue | priority | run_ms | patience_ms | asked_ppm | deviation_ppm | reserved_permille | ceiling_permille |
      | entry-1 | calls | 0        | 100    | 0           | 0         | 0             | 200               | 1000             |
      | entry-1 | bulk  | 0        | 1000   | 0           | 900000    | 0             | 0                 | 500              |
    Then of a runner of 10000 with these uses, this much is reserved
      | calls | bulk | from | kept |
      | 500   | 3000 | bulk | 4500 |
      | 500   | 0    | bulk | 4500 |
      | 500   | 5000 | bulk | 4500 |
      | 500   | 9000 | bulk | 4500 |

  Scenario Outline: the demand of an entry expires, and a restarted agent begins with none
    Given an agent that receives the demand of queues
      | entry   | queue    | priority | run_ms | patience_ms | asked_ppm | deviation_ppm |
      | entry-1 | previews | 0        | 120    | 60          | 120000    | 100000        |
      | entry-1 | payroll  | 2        | 1200   | 500         | 400000    | 90000         |
    When <event>
    Then of a runner of 10000 with these uses, this much is reserved
      | previews | payroll | from    | kept   |
      | 0        | 9000    | payroll | <kept> |

    Examples:
      | event                                    | kept |
      | 1400 ms have passed                      | 190  |
      | 1500 ms have passed                      | 0    |
      | the agent restarts                       | 0    |
      | the entry sends the queue "payroll" only | 0    |

  Scenario: demand is measured from the submitted jobs, and dropped with the queue
    Given an entry where 100 jobs a second of 8 tasks of 120 ms on 1200 come for 10 s
    Then it asks for 115 cores, to 15, with a deviation of 33 cores, to 5
    When the queue vanishes from the configuration
    Then it asks for nothing

  Scenario: an order for reserved room is rejected, and one of an urgent queue is started
    Given a runner of 4000 with demand for previews, and runs of "payroll" on 3000
    When an order of "payroll" for 1000 comes
    Then it is rejected as "room_kept"
    When an order of "previews" for 1000 comes
    Then it is started

  Scenario: an entry places no task in room that is reserved from its queue
    Given a view of a runner with 2000 free, of which 1500 are reserved from "payroll"
    Then a task of "payroll" on 1000 does not fit, and one of "previews" does

  Scenario Outline: an invalid share is ignored, and the rest of the configuration applies
    Given a configuration with these shares is in force
      | queue    | weight | reserved_permille | ceiling_permille |
      | previews | 3      | 100               | 900              |
      | payroll  | 1      | 0                 | 600              |
    When the next one has <field> <value> for "previews", and 700 as ceiling of "payroll"
    Then a finding names "<place>"
    And "previews" has 3, 100 and 900, and "payroll" has the ceiling 700

    Examples:
      | field             | value  | place                         |
      | weight            | 0      | $.routes[0].weight            |
      | weight            | "many" | $.routes[0].weight            |
      | reserved_permille | -1     | $.routes[0].reserved_permille |
      | reserved_permille | 1001   | $.routes[0].reserved_permille |
      | reserved_permille | 950    | $.routes[0].reserved_permille |
      | ceiling_permille  | 0      | $.routes[0].ceiling_permille  |
      | ceiling_permille  | null   | $.routes[0].ceiling_permille  |
      | ceiling_permille  | true   | $.routes[0].ceiling_permille  |

  Scenario: reservations of more than the whole leave the former ones in force
    Given a configuration with these shares is in force
      | queue    | weight | reserved_permille | ceiling_permille |
      | previews | 1      | 100               | 1000             |
      | payroll  | 1      | 200               | 1000             |
    When the next one reserves 600 for "previews" and 500 for "payroll"
    Then a finding names "$.routes[1].reserved_permille"
    And "previews" has 1, 100 and 1000, and "payroll" has the ceiling 1000

  Scenario: a configuration without shares leaves all queues equal
    Given a configuration without shares is in force
    Then "previews" has 1, 0 and 1000, and "payroll" has the ceiling 1000

  Scenario: the log has one line when room begins to be reserved from a queue, and one when it ends
    Given room of a runner is reserved from "payroll" a hundred times in 2 s
    Then one line "room_kept" is written
    When 2000 ms pass without it
    Then one line "room_released" is written
