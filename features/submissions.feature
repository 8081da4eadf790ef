Feature: runs of an earlier submission of a job are told from those of the present one
  The tasks of a job whose caller waits are numbered from attempt 1 with each submission. A run is
  known by its task, its attempt and its runner, which an earlier submission may have used as well.

  # An agent tells an entry that joins again of what has ended there lately for waiting callers. It did
  # so also for an earlier submission of a job that was at work there again, under the same task and
  # attempt. The owner took "failed" or "stopped" for the end of the run at work and started attempt 2
  # beside it, and counted the task as done where the earlier one had been.
  Scenario Outline: the end of an earlier submission's run is not told on the next stream for the present one
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When one of its tasks ends as "<end>", and its caller leaves
    And the caller submits the job again after its pause, and all its tasks are at work there again
    And the stream is replaced
    Then no task is started beside its run that is at work
    And the job has not ended, and no task counts as done or failed
    And the agent has told of each run once

    Examples:
      | end     |
      | failed  |
      | stopped |
      | done    |

  # A message that was under way while the caller paused was taken for one about the present run, which
  # was placed a second time while it was at work.
  Scenario Outline: what an agent told of an earlier submission is passed over when it comes late
    Given an owner and an agent with one runner, joined by a stream
    When a job of a waiting caller is <fate> there, and what is told of it is held up
    And the caller leaves, and submits it again after its pause
    And what was held up arrives
    Then no task is started beside its run that is at work
    And the job has not ended, and no task counts as done or failed

    Examples:
      | fate            |
      | refused         |
      | ended as failed |
      | ended as done   |
      | lost            |

  # A runner rejects a start whose name an earlier submission has used up there. The end that an agent
  # found in the runner's list after a restart was then taken for that of the start.
  Scenario: an end at a runner that rejected the start is not taken for the end of that start
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When the runner rejects a start, and a new life of the agent finds an end under its name as "done"
    Then the job has not ended, and no task counts as done or failed

  # After a restart, an agent tells what it finds without knowing of which submission it is. What it has
  # been ordered itself it knows.
  Scenario Outline: an end that a new life of the agent has found is of what was ordered before
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When an agent whose present life began <when> the order tells of an end that it has found
    Then <tasks> of the job's tasks count as done

    Examples:
      | when   | tasks |
      | before | 0     |
      | after  | 1     |
