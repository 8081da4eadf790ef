Feature: The command line and the documented examples

  Scenario: Each command prints its result and exits with its documented code
    Given a system of 2 entries and 2 runners
    Then these commands print and exit with:
      | command                                           | prints                            | code |
      | status                                            | entry-0                           | 0    |
      | runners                                           | agent-1                           | 0    |
      | config set team/schools team_weight 3 --reason go | version 1 is accepted             | 0    |
      | config wait 1                                     | version 1 is in force everywhere  | 0    |
      | config get team/schools                           | team/schools                      | 0    |
      | config set / team_weight 0                        | must lie between                  | 2    |
      | config set / placement nowhere --dry-run          | must be one of                    | 2    |
      | config set / team_weight 2 --dry-run              | would be accepted                 | 0    |
      | config unset team/schools team_weight             | version 2 is accepted             | 0    |
      | config history --json                             | "reason": "go"                    | 0    |
      | drain agent-1 --reason repair                     | version 3 is accepted             | 0    |
      | drain-zone moka-hall --reason repair              | version 4 is accepted             | 0    |
      | config get zone/moka-hall                         | drained                           | 0    |
      | drain-zone moka-hall --undo                       | version 5 is accepted             | 0    |
      | explain schools no-such-job                       | no record                         | 1    |
      | jobs                                              | none                              | 0    |
      | status --url http://127.0.0.1:1                   | entry_unreachable                 | 4    |

  Scenario: The first example of the API page works unchanged
    Given a system of 1 entries and 1 runners
    When the first example of the API page is submitted
    Then the answer is complete

  Scenario: An invalid settings file is refused with the line of every finding
    Given an entry's settings file with 3 faults
    When the entry is started with that file
    Then it exits with 2 and names the lines "3, 4, 6"
