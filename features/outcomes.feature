Feature: an owner learns what became of its runs, whatever fails before it does
  A stream that fails loses the messages that are under way. What the agent has reported on it, or
  could not report while it was down, must reach the owner on the next stream.

  # Guards against an owner's log from which nobody can tell why an agent does not hold a run: each
  # cause needs another remedy.
  Scenario Outline: the owner's log tells why an agent does not hold a run
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is <state> there
    When its stream ends, <fault>, and the same owner joins again 200 ms later
    Then the owner's log tells that the task waits again as not held: "<why>"

    Examples:
      | state   | fault                         | why             |
      | ordered | its order is lost             | unreported      |
      | at work | the agent and the runner fail | agent_restarted |

  # Guards against outcomes that are lost with the runner they were seen at: the owner expects its runs
  # there until the silence limit, and then does work again that is done.
  Scenario Outline: what a runner did before it was gone is reported on the next stream
    Given an owner and an agent with one runner, joined by a stream
    And <kind> that is at work there
    When its stream ends, one task is done, the runner is replaced, and the same owner joins again <times>
    Then that task counts as done, and is not started again
    And the other task is started at the next runner at once

    Examples:
      | kind                       | times |
      | a job of a waiting caller  | once  |
      | a job of a waiting caller  | twice |
      | a durable job              | once  |

  # Guards against an owner that learns nothing of a runner that is gone while its stream is down, and
  # waits for runs, or for orders that were lost, until the silence limit.
  Scenario: the tasks ordered at a runner that is gone before the next stream wait no longer
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is ordered there
    When its stream ends, the order and the runner are lost, and the same owner joins again 200 ms later
    Then the owner's log tells that the tasks wait again: "runner_gone"

  # Guards against outcomes that are forgotten 2,150 ms after they were seen, though a stream that came
  # up meanwhile and failed again has renewed the owner's hope for its runs.
  Scenario: an outcome is reported for as long as its owner may count on the run
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When one task is done while its stream is down, which comes up and fails, again and again for 4000 ms
    Then that task counts as done, and is not started again

  # An outcome that was received is not kept: it would be sent on each new stream.
  Scenario: an outcome is not sent again once its owner has echoed a later heartbeat
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When one task is done, the owner echoes a later heartbeat, and its stream is replaced
    Then the agent reports that end once in all

  # Guards against an agent that serves other entries as soon as its last run for one has ended: the
  # entry's stream is down, and it waits for the end until the silence limit.
  Scenario: an agent does not leave an entry that may not have received an outcome
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When all tasks are done while its stream is down, and the agent is to serve other entries
    Then the agent keeps to the entry for as long as that counts on its runs, and leaves it then

  # Guards against an end that only the agent knows, as the runner was told to forget it: an agent that
  # restarts before its owner has received it can't report it, and the task is done again.
  Scenario Outline: what a runner did is reported though the agent restarts before the next stream
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When <faults>, and the agent restarts before the same owner joins again
    Then that task counts as done, and is not started again
    And the runner may forget that end

    Examples:
      | faults                                                 |
      | its stream ends, one task is done                      |
      | its stream falls silent, one task is done 400 ms later |
      | its stream ends, one task is done, twice in a row      |

  # As above, for an end whose report is lost with a stream on which the owner has just been heard.
  Scenario: what was reported on a stream that fails is reported again though the agent restarts
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When one task is done, its report is lost, and the agent restarts before the same owner joins again
    Then that task counts as done, and is not started again

  Scenario: what was reported on a stream that fails is reported to an owner that was renamed
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When one task is done, its report is lost, the agent restarts, and the owner joins renamed
    Then that task counts as done, and is not started again
    And the runner may forget that end

  # Guards against several polls for each end: a runner that keeps an end answers polls at once.
  Scenario Outline: the runner is told to forget an end at the next poll once its owner confirms it
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When one task is done, 250 ms after the owner's last echo
    And the owner confirms it with <message>
    Then the runner is told to forget that end at the next poll

    Examples:
      | message       |
      | a receipt     |
      | a start order |

  # Guards against an end that is forgotten on a guess: a stream may fail just after an echo.
  Scenario: the runner keeps an end until its owner confirms it, however late its last echo is
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When one task is done, 0 ms after the owner's last echo
    And 5 polls later the owner echoes a later heartbeat
    Then the runner was told to forget that end at the next poll only

  # Guards against a receipt of a former stream that counts on the present one: both number their
  # messages from 1 if the agent has restarted.
  Scenario: an owner confirms nothing of an agent's former incarnation
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When one task is done and received, and the agent restarts before the receipt is sent
    Then the owner confirms nothing on the next stream

  # Guards against a poll that hides new ends behind those that wait for a silent owner.
  Scenario: the runner keeps a limited number of ends for a silent owner
    Given an owner and an agent with one runner, joined by a stream
    When 450 tasks of a waiting caller are done there, and the owner is silent
    Then the runner keeps 400 ends, and the agent's log names the other 50

  Scenario: the runner keeps an end whose owner seems to be gone until the owner has received it
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When one task is done, 400 ms after the owner's last echo
    And 5 polls later the owner echoes a later heartbeat
    Then the runner was told to forget that end at the next poll only

  Scenario: the runner keeps no end for an owner that is gone
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When one task is done while its stream is down, and no stream follows
    Then the runner was told to forget that end 2150 ms later

  # A lease that is renewed for an end alone would be longer than the next run's owner allows.
  Scenario: the lease of an idle runner is not renewed for ends that wait for their owner
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is at work there
    When all tasks are done while its stream is down
    Then no poll has renewed the lease since

  # Guards against a run that counts as not begun while it is at work, as the report of its start was
  # lost with the stream: its job is shown as waiting.
  Scenario: a run whose start was reported on a stream that fails counts as started
    Given an owner and an agent with one runner, joined by a stream
    And a job of a waiting caller that is ordered there
    When its start is reported on a stream that fails, and the same owner joins again 200 ms later
    Then its tasks count as started, and its job as begun

  # Guards, on real processes, against work that is done again because its end was reported on a link
  # that had fallen silent, which nobody could know, and the agent restarted before the next stream.
  Scenario Outline: what is done while a link is silent is not started again, real processes
    Given a system with one entry and one agent, and a proxy between them
    When the link falls silent 60 ms before 4 tasks of a caller end, and after their ends <fault>
    Then each task has been started once, and the caller has its answer

    Examples:
      | fault                                       |
      | nothing else fails                          |
      | the agent is killed after 30 ms             |
      | the agent is killed after 200 ms            |
      | the agent is killed after 200 ms and 500 ms |
      | the agent is terminated after 30 ms         |

  # Guards, on real processes, against work that is done again because its end came while the stream was
  # down, and the agent's or the runner's next incarnation does not know it.
  Scenario Outline: what is done while a stream is down is not started again, real processes
    Given a system with one entry and one agent, and a proxy between them
    When the stream is cut while 4 tasks of a caller are at work, and once they are done <fault>
    Then each task has been started once, and the caller has its answer

    Examples:
      | fault                  |
      | nothing else fails     |
      | the runner is replaced |
      | the agent is killed    |
