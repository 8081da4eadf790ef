Feature: what an entry does once it knows that a job has ended or has another owner
  The rows of jobs are in a fake store, without processes.

  # Guards against an end of a former owner's run that counts although its task was done again: the
  # record of an ended job left the first attempt of its last owner out, so any attempt seemed to count.
  Scenario Outline: a former owner's end does not count once its task was done again
    Given an entry that has taken over a job and done its task as attempt 1001
    When <entry> is sent the end "done" of attempt 1
    Then the agent learns that the end was superseded

    Examples:
      | entry         |
      | it            |
      | another entry |

  Scenario: the end that a new owner has counted is acknowledged
    Given an entry that has taken over a job and done its task as attempt 1001
    When another entry is sent the end "done" of attempt 1001
    Then the agent learns that the end is stored

  Scenario: an end that a former owner had counted is acknowledged after a takeover
    Given an entry that has taken over a job whose only task was done as attempt 2
    When another entry is sent the end "done" of attempt 2
    Then the agent learns that the end is stored
    When another entry is sent the end "done" of attempt 1
    Then the agent learns that the end was superseded

  # Guards against a new owner that takes the first end that it hears of for one of an earlier attempt.
  Scenario: a run's end that is sent again to a new owner counts
    Given an entry that has taken over a job whose task may be at work
    When it is sent the end "done" of attempt 1
    Then the job is stored as "succeeded"
