Feature: the soak takes what runners saw exactly
  Runners are the soak's witnesses: any overlap of two runs of one task is told, however short.

  Scenario Outline: runs at two runners
    Given runner 1 saw "<one>"
    And runner 2 saw "<other>"
    When the runs of a waiting job are checked
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

  Scenario: an end that is forgotten at one runner is no end of a run at another
    Given runner 1 saw "started@10.0 done@20.0 forgotten@35.0"
    And runner 2 saw "started@30.0 done@50.0"
    And runner 3 saw "started@40.0 done@60.0"
    When the runs of a waiting job are checked
    Then overlaps found: 1

  Scenario: lives of one runner are told apart
    Given runner 1 saw "started@10.0 killed@20.0"
    And its next life saw "started@30.0 done@40.0"
    And runner 2 saw "started@21.0 done@29.0"
    When the runs of a waiting job are checked
    Then overlaps found: 0

  Scenario: a life that was not killed has not ended what it does not tell of
    Given runner 1 saw "started@10.0"
    And its next life saw "started@30.0 done@40.0"
    When the runs of a waiting job are checked
    Then overlaps found: 1

  Scenario Outline: a stored task that was done
    Given runner 1 saw "<one>"
    And runner 2 saw "started@30.0 done@40.0"
    When the runs of a stored job are checked
    Then starts after an end found: <starts>

    Examples:
      | one                                             | starts |
      | started@10.0 done@20.0 forgotten@25.0           | 1      |
      | started@10.0 done@20.0 forgotten_after_lapse@25 | 0      |
      | started@10.0 failed@20.0                        | 0      |

  Scenario: more runs than a runner has room for, in its own life only
    Given runner 1 saw 9 tasks at once
    When the runs of a waiting job are checked
    Then starts over the room found: 1

  # An entry took what an agent told once more of an earlier submission for ends of the present one.
  Scenario Outline: an end counts only for a submission that began before it
    Given runner 1 saw "started@1000.0 <end>@<ended>"
    And an entry began the job at <begun> ms and counted that end at <counted> ms
    When the entry's lines are checked
    Then ends of earlier submissions found: <found>

    Examples:
      | end     | ended  | begun | counted | found |
      | done    | 1500.0 | 900   | 1510    | 0     |
      | done    | 1500.0 | 1500  | 2000    | 0     |
      | done    | 1500.0 | 1501  | 2000    | 1     |
      | stopped | 1500.0 | 2900  | 3100    | 1     |
