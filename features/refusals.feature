Feature: what callers are told when a job does not run where it was submitted
  Without processes and network, in manual time.

  # Guards against a 503 from an entry that shuts down, for a job that would not end before the entry
  # does. The caller gives the job up for good then, though other entries could run it: its slack is
  # longer than the caller's pause.
  Scenario Outline: an entry that leaves sends a job elsewhere that it can't finish
    Given an entry that ends in <left> ms
    When a caller submits a waiting job of <work> ms there
    Then the answer is <answer>

    Examples:
      | left | work | answer      |
      | 5500 | 3000 | none yet    |
      | 5500 | 4000 | 502 leaving |
      | 2500 | 2600 | 502 leaving |
      | 2500 | 500  | none yet    |
      | 1    | 0    | 502 leaving |

  # The job would be late at any other entry for certain, and may end in time here.
  Scenario: an entry that leaves tries a job that would be late elsewhere and fits as stated
    Given an entry that ends in 1500 ms
    When a caller submits a waiting job of 1000 ms there
    Then the answer is none yet

  Scenario: a job that was sent elsewhere has not run, and its log line says when to come back
    Given an entry that ends in 1000 ms
    When a caller submits a waiting job of 4000 ms there
    Then the answer is 502 leaving
    And nothing has begun, and the answer says so and when to come back
    And a line "job_refused" has the reason "leaving" and the status 502

  # A stored job is handed over with its runs, so its length does not matter.
  Scenario Outline: an entry that leaves stores a job while it holds its lease
    Given an entry that ends in 1000 ms
    And its lease is <lease>
    When a caller submits a stored job of 4000 ms there
    Then the answer is <answer>

    Examples:
      | lease    | answer      |
      | held     | 200 stored  |
      | given up | 502 leaving |

  # Entries have 6 s from SIGTERM, and callers still reach them for the first seconds. A job's work is
  # 0.7 s to 10 s, and its stated work is up to 40% off.
  Scenario: long jobs that reach entries which are stopped in turn are lost nowhere
    Given 2000 long jobs that reach an entry in its last 5500 ms, of callers that come back after 1300 ms
    When the entry takes those for which it has time
    Then of those that it sends elsewhere, 9 in 10 of the longest half end in time there
    And of those that it takes, fewer than 1 in 20 are cut off at its end

  # Guards against refusals that no log line shows: after a restart during an outage of the store,
  # entries without a configuration refuse hundreds of callers within a second.
  Scenario: refusals for want of a configuration share a line a second, and all are counted
    Given an entry whose configuration cannot be read
    When 300 callers submit a waiting job of 100 ms there within a second
    Then each is told at once 503 no_configuration, and that nothing has run
    And one line "requests_refused" has the reason "no_configuration" and 300 refusals
    And the metrics count 300 of "requests_refused" for "no_configuration"

  # Guards against refusals in the first milliseconds after a start, while the first call of the store
  # is under way.
  Scenario: a caller waits for the first configuration while it is read
    Given an entry whose configuration is not read yet
    When a caller submits a waiting job of 100 ms, and the configuration comes
    Then the answer is none yet

  Scenario: a caller waits for the first configuration for a limited time only
    Given an entry whose configuration is not read yet
    When a caller submits a waiting job of 100 ms, and the configuration does not come
    Then the answer is 503 no_configuration

  Scenario Outline: an entry that has had a configuration refuses nobody for want of one
    Given an entry with a configuration
    When <trouble>
    Then a caller that submits a waiting job of 100 ms is not refused

    Examples:
      | trouble                          |
      | the configuration's row is gone  |
      | the configuration is malformed   |
      | an older configuration is read   |
      | the feed of the table has failed |

  Scenario Outline: a refusal of a request that is not read as a job is counted
    Given an entry with a configuration
    When a caller sends <request>
    Then it is answered <status>
    And one line "requests_refused" has the reason "<reason>" and 1 refusals

    Examples:
      | request              | status | reason             |
      | no HTTP              | 400    | malformed_request  |
      | half a request       | 400    | request_cut_short  |
      | a request too slowly | 408    | request_too_slow   |
      | too many headers     | 431    | headers_too_large  |
      | too large a body     | 413    | body_too_large     |
      | an unknown method    | 405    | method_unknown     |
      | a name that is none  | 404    | no_such_path       |

  # Guards against a lost answer: malformed bytes behind a request close the connection before the
  # request is answered.
  Scenario: a request is answered though what follows it on the connection can't be read
    Given an entry with a configuration
    When a caller that waits for an answer sends something malformed behind its request
    Then its request is answered, and the connection ends after that

  Scenario: an entry closes the connection of a caller that ends it while it waits
    Given an entry with a configuration
    When a caller that waits for an answer ends its connection in the middle of a second request
    Then the entry ends the connection

  Scenario: callers that still wait when an entry ends are told that nothing is known
    Given an entry that ends in 5500 ms
    When a caller waits for a job of 1000 ms until the entry ends
    Then the answer is 504 unsettled
    And the job is dropped, as the entry ends

  Scenario: a job that the store refuses to store has one line that tells so
    Given an entry whose store refuses all rows
    When a caller submits a stored job of 100 ms there
    Then the answer is 503 store_unavailable
    And a line "job_refused" has the reason "store_unavailable" and the status 503

  # The response time that the caller sees begins at the entry that refused the job.
  Scenario Outline: losses list requests that were refused unread, and jobs that were sent elsewhere
    Given lines of 611 requests that were refused unread, and of a job that was sent elsewhere
    When its caller <returns>
    Then the losses are 611 of "refused unread: no_configuration", and 1 of "<reason>"

    Examples:
      | returns    | reason                                                   |
      | stays away | refused at once: leaving                                 |
      | comes back | late: its first task started late                        |

  # Guards against an entry that, restarted during an outage of the store, refuses all callers until
  # the outage ends, though other entries have the configuration and agents connect to it.
  Scenario: an entry that starts while the store is away gets the configuration from another entry
    Given an entry whose configuration cannot be read
    And another entry with version 7 of the configuration
    When it asks the other entry
    Then a caller that submits a waiting job of 100 ms is not refused

  Scenario: an entry asks no other one while the store may tell the configuration
    Given an entry whose configuration is not read yet
    And another entry with version 7 of the configuration
    When it asks the other entry
    Then it has version 0 of the configuration

  Scenario Outline: the store replaces a configuration from another entry by a newer one only
    Given an entry whose configuration cannot be read
    And another entry with version 7 of the configuration
    When it asks the other entry, and then the store returns version <read>
    Then it has version <version> of the configuration

    Examples:
      | read | version |
      | 6    | 7       |
      | 8    | 8       |

  Scenario: an entry that got its configuration meanwhile applies no older one from another
    Given an entry whose configuration cannot be read
    And another entry with version 7 of the configuration
    When the store returns version 8, and the other entry's answer comes after that
    Then it has version 8 of the configuration

  Scenario Outline: an entry without a valid answer stays without a configuration
    Given an entry whose configuration cannot be read
    And another entry that <answers>
    When it asks the other entry
    Then it has version 0 of the configuration
    And a line "<event>" tells why

    Examples:
      | answers                         | event                  |
      | tells a malformed configuration | configuration_rejected |
      | tells more than may be told     | configuration_not_told |
      | is away                         | configuration_not_told |
      | does not answer                 | configuration_not_told |
