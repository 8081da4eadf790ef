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

  # Guards, on real processes, against work that is done again because its end came while the stream was
  # down, and the agent's or the runner's next incarnation does not know it.
  Scenario Outline: what is done while a stream is down is not started again, real processes
    Given a system with one entry and one agent, and a proxy between them
    When the stream is cut while 4 tasks of a caller are at work, and once they are done <fault>
    Then each task has been started once, and the caller has its answer

    Examples:
      | fault              |
      | nothing else fails |
