Feature: the whole path on the users' platform
  Entries, agents and stand-ins of the platform run as processes. Runners record every start
  and end, so that each scenario can check that no task ran twice at the same time.

  Background:
    Given a platform with 2 entries and 2 agents

  Scenario: a stored job is served and can be asked about at every entry
    When the stored job "00000000000000a1" of 6 tasks of 60 ms is submitted at entry 0
    Then the answer has status 200
    And the job "00000000000000a1" becomes "succeeded" at entry 0
    And the job "00000000000000a1" becomes "succeeded" at entry 1
    And each task of "00000000000000a1" was started 1 time
    And the job "00000000000000a2" is unknown at entry 1

  Scenario: a waiting caller gets the final state of its job
    When the waiting job "00000000000000a3" of 4 tasks of 60 ms is submitted at entry 1
    Then the answer has status 200
    And the answer tells the state "succeeded"
    And each task of "00000000000000a3" was started 1 time

  Scenario: tasks that fail too often fail their job
    When the waiting job "00000000000000a4" of 2 tasks of 20 ms that fail is submitted at entry 0
    Then the answer tells the state "failed"
    And no task of "00000000000000a4" was started more than 3 times

  Scenario: a job that is resubmitted at another entry stays one job
    When the stored job "00000000000000a5" of 3 tasks of 100 ms is submitted at entry 0
    And the stored job "00000000000000a5" of 3 tasks of 100 ms is submitted at entry 1
    Then the answer has status 200
    And the job "00000000000000a5" becomes "succeeded" at entry 1
    And each task of "00000000000000a5" was started 1 time

  Scenario: a queue outside the configuration is unknown, and an added one is served
    When the stored job "00000000000000a6" of 1 tasks of 10 ms goes to the queue "/news/"
    Then the answer has status 404
    When version 2 of the configuration adds the queue "/news/"
    Then the stored job "00000000000000a6" is soon accepted in the queue "/news/"

  Scenario: an older version of the configuration does not come into force
    When version 5 of the configuration adds the queue "/news/"
    And the stored job "00000000000000a7" is soon accepted in the queue "/news/"
    And version 4 of the configuration drops the queue "/news/"
    Then the stored job "00000000000000a8" is still accepted in the queue "/news/"

  Scenario: jobs that have not begun are counted at every entry
    When stored jobs fill all runners for 3000 ms
    And the stored job "00000000000000a9" of 1 tasks of 10 ms is submitted at entry 0
    Then entry 0 and entry 1 soon count 1 waiting job

  Scenario: cancelling at another entry stops what runs
    When the stored job "00000000000000b1" of 3 tasks of 5000 ms is submitted at entry 0
    And 3 tasks have started
    And a caller cancels the job "00000000000000b1" at entry 1
    Then the answer has status 200
    And the job "00000000000000b1" becomes "cancelled" at entry 0
    And soon nothing runs

  Scenario: cancelling a job whose caller waits answers the caller and stops what runs
    When the waiting job "00000000000000b7" of 3 tasks of 5000 ms is on its way at entry 0
    And 3 tasks have started
    And a caller cancels the job "00000000000000b7" at entry 0
    Then the answer has status 200
    And the waiting caller is told "cancelled"
    And soon nothing runs

  Scenario: a job whose caller disconnects is stopped
    When the waiting job "00000000000000b2" of 3 tasks of 5000 ms is sent by one who leaves
    Then soon nothing runs

  Scenario Outline: invalid input is rejected and none of it accepted
    When the body <body> is submitted as job "00000000000000b3"
    Then the answer has status <status>
    And the job "00000000000000b3" is unknown at entry 0

    Examples:
      | body                                                             | status |
      | {"spec":                                                         | 400    |
      | []                                                               | 400    |
      | {"spec":"{}"}                                                    | 400    |
      | {"spec":"{}","steps":[]}                                         | 400    |
      | {"spec":"{}","steps":[{"count":0}]}                              | 400    |
      | {"spec":"{}","steps":[{"count":"2"}]}                            | 400    |
      | {"spec":"{}","steps":[{"count":1,"cpu":-1}]}                     | 400    |
      | {"spec":"{}","steps":[{"count":1,"color":"red"}]}                | 400    |
      | {"spec":"{}","steps":[{"count":1,"after":[0]}]}                  | 400    |
      | {"spec":"{}","steps":[{"count":1,"gang":true}]}                  | 501    |
      | {"spec":"{}","steps":[{"count":1}],"times":3}                    | 501    |

  Scenario: oversized and slow requests are rejected without effect on others
    When a body of 100000 bytes is submitted as job "00000000000000b4"
    Then the answer has status 413
    When a request's header never ends
    Then its connection ends with status 408
    When the waiting job "00000000000000b5" of 1 tasks of 10 ms is submitted at entry 0
    Then the answer tells the state "succeeded"

  Scenario: the steps of a job run in order
    When a stored job "00000000000000b6" has a step of 2 tasks after a step of 3 tasks
    Then the job "00000000000000b6" becomes "succeeded" at entry 0
    And no task of step 1 of "00000000000000b6" started before all of step 0 were done
