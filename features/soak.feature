Feature: a short soak with injected faults
  Processes, links, the store and runners fail singly, in series and several at once; callers
  disconnect, give up and resubmit as soon as they may.

  Scenario: the promises hold, a small system
    When the soak runs seed 10 for 10 s
    Then no promise is violated
    And callers have resubmitted jobs

  # Guards against ends of an earlier submission that count for the current one: agents report them
  # again when a stream is reset.
  Scenario: the promises hold while streams fail again and again and callers come back
    When the soak runs seed 3001 for 12 s
    Then no promise is violated
    And callers have resubmitted jobs

  Scenario: the promises hold, more processes and callers
    When the soak runs seed 600 for 10 s with 4 entries, 8 agents and 20 callers
    Then no promise is violated
    And callers have resubmitted jobs

  # Guards against outcomes of runs that are lost with a stream, a runner or an agent, and against runs
  # that are stopped as their entry has another name.
  Scenario: the promises hold while streams fail in series, and runners, agents or leases with them
    When the soak runs seed 7002 for 14 s with outages only
    Then no promise is violated

  # Guards against entries and agents that do not hear of each other's jobs: more entries than an agent
  # serves, and a store that rejects some of them or loses single answers.
  Scenario: the promises hold while the store rejects some processes, and callers cancel jobs
    When the soak runs seed 8001 for 24 s with rejections only, 8 entries, 8 agents and 16 callers
    Then no promise is violated
    And callers have cancelled jobs

  # Guards against clients that cost others their answers: crowds that exceed limits stay connected while
  # processes are killed, stopped, frozen and cut off.
  Scenario: the promises hold while clients exceed limits, and processes fail
    When the soak runs seed 9700 for 20 s with clients only, 3 entries, 4 agents and 8 callers
    Then no promise is violated

  # Guards against outcomes that an agent drops as it comes back from a suspension, though its entry has
  # taken its new stream.
  Scenario: no outcome is lost while clients exceed limits, and agents are suspended beside failed streams
    When the soak runs seed 9824 for 30 s with clients only, 2 entries, 3 agents and 6 callers
    Then no promise is violated

  # Guards against what only an owner knows of a job: routes change while agents are cut off, tasks fail or
  # are done again, jobs are cancelled elsewhere, and their owners are lost after the last change.
  Scenario: the promises hold while routes change, and agents and owners are lost
    When the soak runs seed 9002 for 24 s with changes only, 3 entries, 6 agents and 4 callers
    Then no promise is violated
    And callers have cancelled jobs
