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

  # Guards against a cancelled job that works on: what follows a cancellation was done only by the entry
  # that got the store's answer to its write.
  Scenario Outline: the owner and the agents are notified of a cancellation, whoever learns of it
    Given an entry that owns a job of 2 tasks, one of them at work
    When another entry cancels it<how>
    Then that entry has notified its agents and the owner, once

    Examples:
      | how                                                           |
      | , and is answered                                             |
      | , and the answer is lost                                      |
      | , and the answer is lost, so that the caller repeats the call |

  Scenario Outline: an entry that reads of a cancellation notifies the owner and the agents
    Given an entry that owns a job of 2 tasks, one of them at work
    When another entry cancels it, and the answer is lost
    And a third entry <learns>
    Then that entry has notified its agents and the owner, once

    Examples:
      | learns                          |
      | cancels the job as well         |
      | shows the job's state           |
      | is sent the end of a run of it  |

  # Guards against an owner that forgets a cancelled job and lets its runs go on, when it finds its row
  # changed or is told by an agent, and against one that nobody tells.
  Scenario Outline: the owner of a job that was cancelled elsewhere stops its runs
    Given an entry that owns a job of 2 tasks, one of them at work
    When another entry cancels it, and is answered
    And the owner learns of it by <way>
    Then it has ordered the run to stop, and has dropped the job
    When its run is reported as held after that
    Then it has ordered the run to stop, and has dropped the job

    Examples:
      | way                       |
      | a message                 |
      | its own check             |
      | a conflict of its own end |

  Scenario: an owner whose write of progress conflicts learns that its job was cancelled
    Given an entry that owns a job of 2 tasks, one of them at work
    When another entry cancels it, and is answered
    And the owner learns of it by a conflict of its progress
    Then it has dropped the job

  Scenario: an owner confirms that a job is its own, and not before some time has passed
    Given an entry that owns a job of 2 tasks, one of them at work
    When the owner checks its job after 500 ms
    Then it has read 0 rows, and the job goes on
    When the owner checks its job after 1500 ms
    Then it has read 1 rows, and the job goes on
    When the owner checks its job after 500 ms
    Then it has read 0 rows, and the job goes on

  Scenario: an owner whose job was claimed leaves its runs to the new owner
    Given an entry that owns a job of 2 tasks, one of them at work
    When another entry claims the job
    And the owner learns of it by its own check
    Then it has dropped the job, and has stopped no run

  # Guards against runs that nobody stops, and against an owner that writes the end of such a job for ever.
  Scenario Outline: an owner whose job's rows are lost stops its runs and drops it
    Given an entry that owns a job of 2 tasks, one of them at work
    When the job's row <is lost>
    And the owner <learns>
    Then it has ordered the run to stop, and has forgotten the job as "<reason>"

    Examples:
      | is lost         | learns                   | reason         |
      | is removed      | checks its rows          | row_missing    |
      | is removed      | is asked to cancel it    | row_missing    |
      | is overwritten  | checks its rows          | row_unreadable |
      | is overwritten  | is asked to cancel it    | row_unreadable |

  Scenario: an owner whose row has another version, but its own name, stores progress again
    Given an entry that owns a job of 3 tasks, one of them at work
    When the job's row is written again as it was
    And the first task ends, and its progress is stored within 2 tries
    Then the progress in the store has 1 tasks that are done

  # Guards against reads of the store that grow with the calls of callers.
  Scenario: callers that repeat a cancellation whose answer is lost cause one lookup
    Given an entry that owns a job of 2 tasks, one of them at work
    When another entry is asked 3 times to cancel it while the store loses all answers and executes nothing
    Then it looks up one job

  # Guards against agents that tell an owner only that its job is lost, whereupon it stops no run.
  Scenario: an agent stops the runs of a cancelled job and passes the cancellation on to the owner
    Given an agent that runs a task of a stored job
    When another entry tells it that the job was cancelled
    Then it stops the run, and has notified the owner before
    When the owner orders another run of the job
    Then it starts nothing, and notifies the owner of the cancellation

  # Guards against tasks that are done again after a takeover: a write of progress that took effect late
  # replaced a newer one, whose ends had been acknowledged.
  Scenario: a write of progress that takes effect late does not replace a newer one
    Given an entry that owns a job of 3 tasks, one of them at work
    When the first task ends, and the store executes the write of that late
    And the second task ends, and the store answers
    And the store executes the first write
    Then the progress in the store has 2 tasks that are done
    And the agent may acknowledge both ends

  # Guards against work that is done twice after a takeover: a task's first run ended unseen at an agent
  # that was cut off, the owner started it again elsewhere, and the next owner heard of the first end.
  Scenario: a task that may have been done at a lost agent is started again once that attempt is stored
    Given an entry that owns a job of 2 tasks, one of them at work
    When its agent is lost, and another one has room
    Then attempt 2 of the task is not ordered
    When the entry stores the progress of the job
    Then attempt 2 of the task is ordered

  Scenario Outline: a new owner counts no attempt that the former one had abandoned
    Given an entry that owns a job of 2 tasks, one of them at work
    When its agent is lost, and another one has room
    And the entry stores the progress of the job
    And another entry takes the job over and is sent the end "done" of attempt <attempt>
    Then the agent learns that the end <told>

    Examples:
      | attempt | told              |
      | 1       | was superseded    |
      | 2       | is not needed yet |

  Scenario: a new owner that was told nothing of a task abandons the attempts of former owners
    Given an entry that has taken over a job whose task may be at work
    When nobody has told of the task in time, and an agent has room
    Then attempt 1001 of the task is not ordered
    When the entry stores the progress of the job
    Then attempt 1001 of the task is ordered
    When another entry takes the job over and is sent the end "done" of attempt 1
    Then the agent learns that the end was superseded

  # Guards against a task that counts as done twice: an entry that cancels another one's job knows none of
  # its attempts, and took the end of any of them for one that counts.
  Scenario Outline: an abandoned attempt does not count once its job was cancelled at another entry
    Given an entry that owns a job of 2 tasks, one of them at work
    When its agent is lost, and another one has room
    And the entry stores the progress of the job
    And the job is cancelled at another entry<how>
    And <entry> then is sent the end "done" of attempt <attempt>
    Then the agent learns that the end <told>

    Examples:
      | how                | entry                  | attempt | told           |
      | , which goes on    | it                     | 1       | was superseded |
      | , which goes on    | it                     | 2       | is stored      |
      | , which goes on    | another entry          | 1       | was superseded |
      | , which goes on    | another entry          | 2       | is stored      |
      | , which goes on    | the owner              | 1       | was superseded |
      | , which goes on    | the owner              | 2       | is stored      |
      | , which goes on    | an entry that was told | 1       | was superseded |
      | , which goes on    | an entry that was told | 2       | is stored      |
      | , which ends       | another entry          | 1       | was superseded |
      | , which ends       | the owner              | 1       | was superseded |
      | , which ends       | an entry that was told | 2       | is stored      |

  Scenario Outline: an attempt is abandoned between a canceller's read of the job and its write
    Given an entry that owns a job of 2 tasks, one of them at work
    When its agent is lost, and another one has room
    And the job is cancelled at another entry, whose owner stores that between
    And <entry> then is sent the end "done" of attempt 1
    Then the agent learns that the end was superseded

    Examples:
      | entry         |
      | it            |
      | another entry |
      | the owner     |

  Scenario Outline: the progress row of a cancelled job stays until its attempts are in the job's record
    Given an entry that owns a job of 2 tasks, one of them at work
    When its agent is lost, and another one has room
    And the entry stores the progress of the job
    And the job is cancelled at another entry<how>
    Then the progress row is <kept>

    Examples:
      | how                | kept    |
      | , which goes on    | removed |
      | , which ends       | kept    |

  Scenario Outline: an attempt that a former owner abandoned does not count if the new one cancels the job
    Given an entry that owns a job of 2 tasks, one of them at work
    When its agent is lost, and another one has room
    And the entry stores the progress of the job
    And the new owner cancels it before it was told of the task
    And <entry> then is sent the end "done" of attempt <attempt>
    Then the agent learns that the end <told>

    Examples:
      | entry         | attempt | told           |
      | it            | 1       | was superseded |
      | another entry | 1       | was superseded |
      | another entry | 2       | is stored      |

  # Guards against an entry that places nothing any more: it queued a job for placement that had been
  # cancelled elsewhere while an attempt that it had given up was being stored.
  Scenario Outline: a job that is dropped while its progress is stored is not placed any more
    Given an entry that owns a job of 2 tasks, one of them at work
    When its agent is lost, and another one has room
    And the job <goes> while the entry stores its progress
    Then the job is not queued for placement
    And a new job is ordered at once

    Examples:
      | goes                            |
      | is cancelled elsewhere          |
      | is claimed elsewhere            |
      | is lost with the entry's lease  |

  Scenario: a job whose placement fails holds up no other job, and is tried again
    Given an entry that owns a job of 2 tasks, one of them at work
    When the placement of the job fails
    Then a new job is ordered at once
    And the failed placement is logged once
    And the job is ordered a second later

  # Guards against a task that is started more often than its job allows: a failure of an abandoned run
  # became known after further starts, and counted.
  Scenario Outline: a failure that becomes known late counts only if no start came after too many
    Given an entry that owns a job of 2 tasks, one of them at work
    And the job allows <attempts> attempts
    When its agent is lost, and another one has room
    And the entry stores the progress of the job
    And attempt 2 <goes>
    And it is sent the end "failed" of attempt 1
    Then the end of attempt 1 <told>, and the task has failed as "<failed>"

    Examples:
      | attempts | goes                           | told           | failed |
      | 1        | goes on                        | was superseded |        |
      | 2        | goes on                        | counts         | 1      |
      | 2        | fails, and the next one starts | was superseded | 2      |
      | 3        | fails, and the next one starts | counts         | 1 2    |

  Scenario Outline: a late failure of an abandoned attempt at a next owner
    Given an entry that owns a job of 2 tasks, one of them at work
    And the job allows <attempts> attempts
    When its agent is lost, and another one has room
    And the entry stores the progress of the job
    And another entry takes the job over and is sent the end "failed" of attempt 1
    Then the end of attempt 1 <told>, and the task has failed as "<failed>"

    Examples:
      | attempts | told           | failed |
      | 1        | was superseded |        |
      | 2        | counts         | 1      |

  # A former owner may have started the task after two failures, the one that it knew and this one.
  Scenario Outline: a late failure of an abandoned attempt once a next owner waits to start the task
    Given an entry that owns a job of 2 tasks, one of them at work
    And the job allows <attempts> attempts
    And attempt 1 has failed, which is stored, and attempt 2 is at work
    When its agent is lost, and another one has room
    And the entry stores the progress of the job
    And another entry takes the job over, and nobody tells of the task in time
    And it is sent the end "failed" of attempt 2
    Then the end of attempt 1 <told>, and the task has failed as "<failed>"

    Examples:
      | attempts | told           | failed |
      | 2        | was superseded | 1      |
      | 3        | counts         | 1 2    |

  Scenario: a success of an abandoned attempt that is told again never counts
    Given an entry that owns a job of 2 tasks, one of them at work
    When its agent is lost, and another one has room
    And the entry stores the progress of the job
    And another entry takes the job over and is sent the end "done" of attempt 1
    And nobody has told of the task in time, and its end is sent again
    Then the agent learns twice that the end was superseded

  Scenario Outline: a failure of an abandoned attempt does not count once its job has ended
    Given an entry that owns a job of 2 tasks, one of them at work
    When its agent is lost, and another one has room
    And the entry stores the progress of the job
    And the job is cancelled at <canceller>
    And <entry> then is sent the end "failed" of attempt <attempt>
    Then the agent learns that the end <told>

    Examples:
      | canceller                    | entry                  | attempt | told           |
      | another entry, which goes on | it                     | 1       | was superseded |
      | another entry, which goes on | it                     | 2       | is stored      |
      | another entry, which goes on | another entry          | 1       | was superseded |
      | another entry, which goes on | the owner              | 1       | was superseded |
      | another entry, which goes on | an entry that was told | 1       | was superseded |
      | another entry, which ends    | another entry          | 1       | was superseded |
      | its owner                    | the owner              | 1       | was superseded |
      | its owner                    | another entry          | 1       | was superseded |
      | its owner                    | another entry          | 2       | is stored      |

  # Guards against a job that is shown as failed although none of its failures counts any more.
  Scenario Outline: a failure that was counted before another start still counts once the job has ended
    Given an entry that owns a job of 2 tasks, one of them at work
    When its agent is lost, and another one has room
    And it is sent the end "failed" of attempt 1
    And the entry stores the progress of the job
    And the job is cancelled at <canceller>
    And <entry> then is sent the end "failed" of attempt 1
    Then the agent learns that the end is stored

    Examples:
      | canceller                    | entry         |
      | its owner                    | the owner     |
      | its owner                    | another entry |
      | another entry, which goes on | another entry |
      | another entry, which ends    | another entry |

  # Guards against a runner whose ends all wait for one that nobody can judge.
  Scenario: an end whose counted attempts can't be read does not count
    Given an entry that owns a job of 2 tasks, one of them at work
    When its agent is lost, and another one has room
    And the entry stores the progress of the job
    And the job is cancelled at another entry, which ends
    And the job's progress row is overwritten
    And another entry then is sent the end "done" of attempt 2
    Then the agent learns that the end was superseded

  # Guards against a job that never ends, as its progress or its end exceeds the size of a row.
  Scenario: what is stored of a job with the most tasks fits into a row of the store
    Given a job of 10000 tasks, each of them done as its 3rd attempt after a failure
    Then its progress and its end take at most 65536 bytes each, and are read as they were written
