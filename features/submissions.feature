Feature: runs of an earlier submission of a job are distinguished from those of the present one
  The tasks of a job whose caller waits are numbered from attempt 1 with each submission. A run is
  identified by its task, attempt and runner, which an earlier submission may have used as well.

  # On a new stream, an agent reports recent ends of waiting callers' runs to the entry. Guards against
  # the end of an earlier submission's run, under the same task and attempt, that the owner takes for
  # the present run's: after "failed" or "stopped" it starts attempt 2 beside the run at work, and
  # after "done" it counts the task as done.
  Scenario Outline: the end of an earlier submission's run is not reported as the present one's on the next stream
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When one of its tasks ends as "<end>", and its caller leaves
    And the caller submits the job again after its pause, and all its tasks are at work there again
    And the stream is replaced
    Then no task is started beside its run that is at work
    And the job has not ended, and no task counts as done or failed
    And the agent has reported each run once

    Examples:
      | end     |
      | failed  |
      | stopped |
      | done    |

  # Guards against a message that is under way while the caller pauses, and that the owner takes for
  # one about the present run: it places the task a second time while its run is at work.
  Scenario Outline: a late message about a run of an earlier submission is ignored
    Given an owner and an agent with one runner, joined by a stream
    When a job of a waiting caller is <fate> there, and the messages about it are delayed
    And the caller leaves, and submits it again after its pause
    And the delayed messages arrive
    Then no task is started beside its run that is at work
    And the job has not ended, and no task counts as done or failed

    Examples:
      | fate            |
      | refused         |
      | ended as failed |
      | ended as done   |
      | lost            |

  # A runner rejects a start whose name an earlier submission has used there. Guards against an owner
  # that takes the end in the runner's list, found by an agent after a restart, for that of the start.
  Scenario: an end at a runner that rejected the start is not taken for the end of that start
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When the runner rejects a start, and a restarted agent finds an end under its name as "done"
    Then the job has not ended, and no task counts as done or failed

  # After a restart, an agent reports the ends that it finds without knowing their submission. It knows
  # the submission of runs that it was ordered itself.
  Scenario Outline: an end that a restarted agent has found belongs to an order of before the restart
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When an agent whose incarnation began <when> the order reports an end that it has found
    Then <tasks> of the job's tasks count as done

    Examples:
      | when   | tasks |
      | before | 0     |
      | after  | 1     |
