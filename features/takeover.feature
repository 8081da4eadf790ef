Feature: what a next owner knows of a job
  The rows of jobs are in a fake store, without processes.

  # Guards against accepted jobs that fail after fewer failed runs than they were accepted with: a new
  # owner looked their policy up by the name of their route, and took one attempt where it found none.
  Scenario Outline: a job keeps the policy of its acceptance whatever becomes of its route
    Given an entry that has accepted a job at "/certs/" of the route "certs" with these settings
      | attempts | priority | stretch | target_latency_ms |
      | 3        | 2        | 1.5     | 900               |
    When a run of the job fails, which is stored
    And the configuration <change>
    And the entry is lost, and another one takes the job over
    Then the job goes on with 1 failed run of 3, priority 2 and the objective 1050 ms

    Examples:
      | change                                                     |
      | stays as it is                                             |
      | gives the route the name "certs-2"                         |
      | has no such route                                          |
      | gives the path to a route "certs-2" with 1 attempts        |
      | gives the name "certs" to the path "/other/" with 1 attempts |
      | changes the attempts of the route to 1                     |

  Scenario: the policy of a job is kept over several takeovers
    Given an entry that has accepted a job at "/certs/" of the route "certs" with these settings
      | attempts | priority | stretch | target_latency_ms |
      | 3        | 2        | 1.5     | 900               |
    When a run of the job fails, which is stored
    And the configuration has no such route
    And the entry is lost, and another one takes the job over
    And the entry is lost, and another one takes the job over
    Then the job goes on with 1 failed run of 3, priority 2 and the objective 1050 ms

  # Rows of the release before have no policy: an assumption must not end the job.
  Scenario Outline: a job that an earlier release has accepted is taken over
    Given an entry that has accepted a job at "/certs/" of the route "certs" with these settings
      | attempts | priority | stretch | target_latency_ms |
      | 3        | 2        | 1.5     | 900               |
    And its row is as an earlier release writes it
    When a run of the job fails, which is stored
    And the configuration <change>
    And the entry is lost, and another one takes the job over
    Then the job goes on with 1 failed run of <attempts>, priority <priority> and the objective <objective> ms

    Examples:
      | change                                  | attempts | priority | objective |
      | stays as it is                          | 3        | 2        | 1050      |
      | has no such route                       | 0        | 0        | 100       |

  Scenario: an earlier release reads the row of a job
    Given an entry that has accepted a job at "/certs/" of the route "certs" with these settings
      | attempts | priority | stretch | target_latency_ms |
      | 3        | 2        | 1.5     | 900               |
    Then the first record of its row is what an earlier release writes

  # Guards against one bad row that keeps all other jobs of a part from being taken over.
  Scenario: a row whose policy can't be read costs no other job
    Given an entry that has accepted a job at "/certs/" of the route "certs" with these settings
      | attempts | priority | stretch | target_latency_ms |
      | 3        | 2        | 1.5     | 900               |
    And a job beside it whose row has a malformed policy
    When the entry is lost, and another one takes the job over
    Then it has taken over that job only
