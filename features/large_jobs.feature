Feature: jobs with the most tasks that are accepted
  Real processes.

  # Guards against work that grows with the square of a job's tasks: the entry is busy for seconds, so its
  # streams fail, and tasks are placed again.
  Scenario: a job of 10,000 short tasks ends
    Given a platform with 2 entries and 3 agents
    When the stored job "00000000000000d4" of 10000 tasks of 20 ms is submitted at entry 0
    Then the job "00000000000000d4" becomes "succeeded" at entry 1 within 90 s
