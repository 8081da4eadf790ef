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

  # Guards against accepted jobs that wait for an upstream without runners: a new owner took the
  # upstream from the job's row, and moved the job only with the next configuration.
  Scenario Outline: a job is placed where the configuration sends its path, whoever owns it
    Given an entry that has accepted a job at "/certs/" of the route "certs" with these settings
      | attempts |
      | 3        |
    When the configuration <change>
    And <then>
    Then the task waits for room at "<upstream>", and counts for "<queue>"

    Examples:
      | change                                     | then                                                             | upstream       | queue   |
      | sends the route to "inspect-desk-2"        | a second passes                                                  | inspect-desk-2 | certs   |
      | sends the route to "inspect-desk-2"        | the entry is lost, and another one takes the job over            | inspect-desk-2 | certs   |
      | gives the path to "certs-2" at "inspect-desk-2" | a second passes                                             | inspect-desk-2 | certs-2 |
      | gives the path to "certs-2" at "inspect-desk-2" | the entry is lost, and another one takes the job over       | inspect-desk-2 | certs-2 |
      | gives the name "certs" to the path "/other/" with 1 attempts | a second passes                                | inspect-desk   | certs   |
      | gives the name "certs" to the path "/other/" with 1 attempts | the entry is lost, and another one takes the job over | inspect-desk | certs |
      | has no such route                          | the entry is lost, and another one takes the job over            | inspect-desk   | certs   |
      | sends the route to "inspect-desk-2"        | an entry that knows only the first version takes the job over    | inspect-desk   | certs   |

  Scenario Outline: a job whose route is gone stays where it was sent last
    Given an entry that has accepted a job at "/certs/" of the route "certs" with these settings
      | attempts |
      | 3        |
    When the configuration sends the route to "inspect-desk-2"
    And the entry stores the progress of its job
    And the configuration has no such route
    And <then>
    Then the task waits for room at "inspect-desk-2", and counts for "certs"

    Examples:
      | then                                                          |
      | a second passes                                               |
      | the entry is lost, and another one takes the job over         |
      | an entry that knows only the first version takes the job over |

  Scenario: a job is placed where its path was sent while it was being stored
    Given an entry that accepts a job at "/certs/" while its route is sent to "inspect-desk-2"
    Then the task waits for room at "inspect-desk-2", and counts for "certs"

  Scenario: a job that an earlier release has accepted follows the route of its name
    Given an entry that has accepted a job at "/certs/" of the route "certs" with these settings
      | attempts |
      | 3        |
    And its row is as an earlier release writes it
    When the configuration sends the route to "inspect-desk-2"
    And the entry is lost, and another one takes the job over
    Then the task waits for room at "inspect-desk-2", and counts for "certs"

  # Guards against one bad row that keeps all other jobs of a part from being taken over.
  Scenario: a row whose policy can't be read costs no other job
    Given an entry that has accepted a job at "/certs/" of the route "certs" with these settings
      | attempts | priority | stretch | target_latency_ms |
      | 3        | 2        | 1.5     | 900               |
    And a job beside it whose row has a malformed policy
    When the entry is lost, and another one takes the job over
    Then it has taken over that job only

  # Guards against a decision that hangs on what only the memory of an owner holds: a new field has to be
  # stored, to follow from what is stored, or to be given up for a reason.
  Scenario Outline: each field of a <kind> is known to a next owner, or given up
    Given an entry that has accepted a job at "/certs/" of the route "certs" with these settings
      | attempts | priority | stretch | target_latency_ms |
      | 3        | 2        | 1.5     | 900               |
    When the configuration gives the path to "certs-2" at "inspect-desk-2"
    And each field of its first task that is stored has a value of its own
    And the entry stores the progress of its job
    And the configuration has no such route
    And the entry is lost, and another one takes the job over
    Then these fields of the <kind> are as the owner before knew them
      """
      <kept>
      """
    And these begin anew, and the <kind> has no other field
      """
      <anew>
      """

    Examples:
      | kind | kept | anew |
      | job  | job_id queue upstream host prefix configuration_version spec accepted_wall_ms failure_limit priority chain_ms objective_ms begin_within_ms steps least_cpu_milli labels was_rerouted durable has_progress_row begun | owner epoch version progress_version accepted_ms confirmed_ms tasks by_name submission ending unstored_progress_since_ms progress_is_urgent unstored_ends requeue_unknown_at_ms place_from_ms caller_deadline_ms |
      | task | name step failed_attempts crashes crashes_alone abandoned_attempt | phase attempt place place_by_attempt incarnation_by_attempt reported_by started_ms slowness moves avoided hold_logged exclusive_attempts crashed_ms abandoned_is_stored |

  # Guards against a job that is shown as not begun although a task of it is done.
  Scenario: a job that has begun is running also at a next owner
    Given an entry that has accepted a job at "/certs/" of the route "certs" with these settings
      | attempts |
      | 3        |
    When a run of the job fails, which is stored
    And the entry is lost, and another one takes the job over
    Then the job has begun
