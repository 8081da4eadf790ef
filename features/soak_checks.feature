Feature: the soak's checks of what runners recorded
  The soak relies on the records of runners: it reports any overlap of two runs of one task, however
  short.

  Scenario Outline: runs at two runners
    Given runner 1 recorded "<one>"
    And runner 2 recorded "<other>"
    When the runs of a non-durable job are checked
    Then overlaps found: <overlaps>

    Examples: rows are HOW@MS, of attempt 1 of one task
      | one                                  | other                            | overlaps |
      | started@10.0 done@20.0               | started@20.1 done@30.0           | 0        |
      | started@10.0 done@20.0               | started@19.9 done@30.0           | 1        |
      | started@20.1 done@30.0               | started@10.0 stopped@20.0        | 0        |
      | started@10.0 done@20.0               | started@19.9                     | 1        |
      | started@10.0 done@20.0 forgotten@35  | started@30.0 stopped@40.0        | 0        |
      | started@5.0 done@6.0 started@35.0    | started@30.0 stopped@40.0        | 1        |
      | started@10.0                         | started@50.0 done@60.0           | 1        |
      | started@10.0 killed@49.9             | started@50.0 done@60.0           | 0        |
      | started@10.0 killed@50.1             | started@50.0 done@60.0           | 1        |
      | started@10.0 done@20.0 killed@99.0   | started@50.0 done@60.0           | 0        |
      | started@10.0 lapsed@12.0 killed@99.0 | started@13.0 lapsed@14.0         | 0        |

  Scenario: an end that one runner forgets ends no run at another
    Given runner 1 recorded "started@10.0 done@20.0 forgotten@35.0"
    And runner 2 recorded "started@30.0 done@50.0"
    And runner 3 recorded "started@40.0 done@60.0"
    When the runs of a non-durable job are checked
    Then overlaps found: 1

  Scenario: incarnations of one runner are distinguished
    Given runner 1 recorded "started@10.0 killed@20.0"
    And its next incarnation recorded "started@30.0 done@40.0"
    And runner 2 recorded "started@21.0 done@29.0"
    When the runs of a non-durable job are checked
    Then overlaps found: 0

  Scenario: a run without a recorded end stays active unless its runner was killed
    Given runner 1 recorded "started@10.0"
    And its next incarnation recorded "started@30.0 done@40.0"
    When the runs of a non-durable job are checked
    Then overlaps found: 1

  Scenario Outline: a durable task that was done
    Given runner 1 recorded "<one>"
    And runner 2 recorded "started@30.0 done@40.0"
    When the runs of a durable job are checked
    Then starts after an end found: <starts>

    Examples:
      | one                                             | starts |
      | started@10.0 done@20.0 forgotten@25.0           | 1      |
      | started@10.0 done@20.0 forgotten_after_lapse@25 | 0      |
      | started@10.0 failed@20.0                        | 0      |

  Scenario: more runs than a runner's capacity, within one incarnation
    Given runner 1 recorded 9 tasks at once
    When the runs of a non-durable job are checked
    Then starts over the capacity found: 1

  # Guards against an entry that counts ends of an earlier submission for the current one, after an
  # agent has reported them again.
  Scenario Outline: an end counts only for a submission that began before it
    Given runner 1 recorded "started@1000.0 <end>@<ended>"
    And an entry began the job at <begun> ms and counted that end at <counted> ms
    When the entry's log is checked
    Then ends of earlier submissions found: <found>

    Examples:
      | end     | ended  | begun | counted | found |
      | done    | 1500.0 | 900   | 1510    | 0     |
      | done    | 1500.0 | 1500  | 2000    | 0     |
      | done    | 1500.0 | 1501  | 2000    | 1     |
      | stopped | 1500.0 | 2900  | 3100    | 1     |

  # An agent that has not restarted must report what became of each run that it has reported at work.
  Scenario Outline: a task that is placed again as its outcome was lost
    Given an entry placed a task again as "<reason>", "<why>"
    When the entry's log is checked for outcomes
    Then lost outcomes found: <count>

    Examples:
      | reason          | why             | count |
      | not_held        | outcome_unknown | 1     |
      | runner_not_told | outcome_unknown | 1     |
      | not_held        | agent_restarted | 0     |
      | not_held        | unreported      | 0     |

  # Guards against runs that are stopped for a former name of an entry whose process goes on.
  Scenario Outline: runs that are stopped for an owner
    Given an entry logged "<entry>", and an agent "<agent>"
    When both logs are checked for runs that were stopped
    Then runs stopped for a former name found: <count>

    Examples: words are EVENT@NAME
      | entry                                           | agent                                             | count |
      | lease_taken@a started@a lease_taken@b           | entry_joined@a entry_joined@b run_stopped_for_owner@a | 1 |
      | lease_taken@a started@a lease_taken@b           | entry_joined@a run_stopped_for_owner@a entry_joined@b | 0 |
      | lease_taken@a started@a lease_taken@b started@b | entry_joined@a entry_joined@b run_stopped_for_owner@a | 0 |
      | lease_taken@a started@a lease_taken@b           | entry_joined@b started@x run_stopped_for_owner@a      | 0 |

  Scenario Outline: starts after as many failures that count as the job allows
    Given runner 1 recorded "<rows>"
    When the runs of a durable job are checked
    Then starts over the budget found: <starts>

    Examples: three attempts are allowed
      | rows                                                                                                                       | starts |
      | started@1 failed@2 forgotten@3 started@4 failed@5 forgotten@6 started@7 failed@8 forgotten@9                               | 0      |
      | started@1 failed@2 forgotten@3 started@4 failed@5 forgotten@6 started@7 failed@8 forgotten@9 started@10                    | 1      |
      | started@1 failed@2 started@4 failed@5 started@7 failed@8 started@10 stopped@11                                             | 0      |

  Scenario Outline: jobs that failed without enough failures of a task
    Given runner 1 recorded "<rows>"
    When the runs of a durable job that has failed are checked
    Then failures without cause found: <jobs>

    Examples: three attempts are allowed
      | rows                                                              | jobs |
      | started@1 failed@2 started@4 failed@5 started@7 failed@8          | 0    |
      | started@1 failed@2 started@4 stopped@5                            | 1    |
      | started@1 failed@2 started@4 killed@5                             | 0    |
