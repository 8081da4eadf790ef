Feature: clients that exceed limits cost a process a bounded amount
  A crowd of clients connects to one address of a process and stays connected. The process must stay
  within the memory and descriptors that its settings state, and go on answering.

  # Guards against a process that runs out of memory or descriptors by what clients send to it, or leave
  # unread.
  Scenario Outline: a crowd that sends <form> to <address>
    Given a platform on machines of 128 MB and 700 descriptors
    When <clients> clients send <form> to <address>
    Then the process lives, within its memory and descriptors
    And an ordinary request to <address> is answered
    And an ordinary job is served
    And the process lives, within its memory and descriptors

    Examples: callers
      | address            | clients | form                                             |
      | an entry's callers | 200     | many small header fields                         |
      | an entry's callers | 200     | a header field without end                       |
      | an entry's callers | 200     | a request line without end                       |
      | an entry's callers | 200     | empty lines without end                          |
      | an entry's callers | 450     | a body that stops short                          |
      | an entry's callers | 450     | large chunks that stop short                     |
      | an entry's callers | 100     | small chunks that stop short                     |
      | an entry's callers | 200     | many small trailer fields                        |
      | an entry's callers | 200     | a trailer field without end                      |
      | an entry's callers | 200     | a chunk extension without end                    |
      | an entry's callers | 100     | requests ahead, answers unread                   |
      | an entry's callers | 100     | requests behind a body that is not read as a job |
      | an entry's callers | 100     | a waiting job of 10,000 tasks                    |
      | an entry's callers | 100     | jobs with as many findings as fit                |
      | an entry's callers | 800     | nothing                                          |
      | an entry's callers | 800     | half a request line                              |

    Examples: other addresses
      | address              | clients | form                                         |
      | an entry's readiness | 100     | small chunks that stop short                 |
      | an entry's readiness | 200     | many small trailer fields                    |
      | an entry's readiness | 100     | requests ahead for readiness, answers unread |
      | an entry's readiness | 800     | nothing                                      |
      | an entry's metrics   | 100     | small chunks that stop short                 |
      | an entry's metrics   | 25      | requests ahead for metrics, answers unread   |
      | an entry's metrics   | 800     | half a request line                          |
      | an agent's control   | 100     | small chunks that stop short                 |
      | an agent's control   | 200     | many small header fields                     |
      | an agent's control   | 200     | requests ahead, answers unread               |
      | an agent's control   | 100     | heartbeats of many runners                   |
      | an agent's control   | 800     | nothing                                      |
      | an agent's metrics   | 100     | small chunks that stop short                 |
      | an agent's metrics   | 25      | requests ahead for metrics, answers unread   |
      | an entry's streams   | 800     | nothing                                      |
      | an entry's streams   | 40      | a frame that stops short                     |
      | an entry's streams   | 4       | a frame of many small arrays                 |

  # Guards against short requests that make a process hold much.
  Scenario: many waiting jobs of 10,000 tasks cost a bounded amount
    Given a platform on machines of 128 MB and 700 descriptors
    When 100 clients send a waiting job of 10,000 tasks to an entry's callers
    Then the process lives, within its memory and descriptors
    And an ordinary request to an entry's readiness is answered
    And the process lives, within its memory and descriptors

  # Guards against requests that hold much while they are answered.
  Scenario: many callers that wait, with many small header fields, cost a bounded amount
    Given a platform on machines of 128 MB and 700 descriptors
    When 550 clients send a waiting job behind many small header fields to an entry's callers
    Then the process lives, within its memory and descriptors
    And an ordinary request to an entry's callers is answered
    And an ordinary job is served
    And the process lives, within its memory and descriptors

  # Guards against bounds for each form or each address alone.
  Scenario: crowds of several forms at several addresses
    Given a platform on machines of 128 MB and 700 descriptors
    When 100 clients send small chunks that stop short to an entry's callers
    And 100 clients send many small header fields to an entry's readiness
    And 60 clients send a body that stops short to an entry's metrics
    And 40 clients send requests ahead, answers unread to an entry's callers
    Then the process lives, within its memory and descriptors
    And an ordinary request to an entry's readiness is answered
    And an ordinary job is served
    And the process lives, within its memory and descriptors

  Scenario Outline: a crowd at an entry that <fault>
    Given a platform on machines of 128 MB and 700 descriptors
    When 100 clients send small chunks that stop short to an entry's callers
    And 40 clients send requests ahead, answers unread to an entry's callers
    And the entry <fault> beside the crowd
    Then an ordinary job is served
    And the process lives, within its memory and descriptors

    Examples:
      | fault                        |
      | is killed and starts again   |
      | is stopped and starts again  |

  Scenario Outline: a crowd that sends <form> to the product's own <address>
    Given a system of 1 entries and 1 runners
    When at the product's own <address> <clients> clients send <form>
    Then the process lives, within 512 MB
    When the job "m1" of 2 tasks of 50 ms is submitted to entry 0
    Then the answer is complete

    Examples:
      | address | clients | form                                       |
      | entry   | 100     | a body of 8 MB that stops short            |
      | entry   | 60      | small chunks that stop short               |
      | entry   | 200     | many small header fields                   |
      | entry   | 200     | many small trailer fields                  |
      | entry   | 100     | requests ahead, answers unread             |
      | entry   | 25      | requests ahead for metrics, answers unread |
      | agent   | 100     | a body of 8 MB that stops short            |
      | agent   | 200     | many small header fields                   |
      | streams | 80      | a frame that stops short                   |
      | streams | 4       | a frame of many small arrays               |

  # Guards against a metrics page, and log lines, that grow with what clients send.
  Scenario: reasons that contain what clients sent take few lines of the metrics
    Given a platform on machines of 128 MB and 700 descriptors
    When 20 clients send bodies that are malformed in different places to an entry's callers
    Then the process lives, within its memory and descriptors
    And its metrics page has at most 2,000 lines
    And an ordinary job is served

  Scenario: log lines about long paths are cut, and few wait for a slow reader
    Given a log whose reader reads nothing
    When 10,000 lines tell paths of 16,000 characters
    Then the lines that wait take at most 8 MB
    And the lines that were dropped are counted

  # Guards against runs that go on for a caller that has gone: its connection is not read meanwhile.
  Scenario: a caller that leaves is noticed though what it has sent ahead is not read
    Given a platform on machines of 128 MB and 700 descriptors
    When a caller sends a waiting job of 30,000 ms, and 1,000 requests behind it, and leaves
    Then the entry notices that the caller has gone

  # Guards against connections that stay for ever, as their peers read nothing.
  Scenario: a connection whose peer reads no answers is closed in the end
    Given a platform on machines of 128 MB and 700 descriptors, that closes idle connections after 500 ms
    When 20 clients send requests ahead, answers unread to an entry's callers
    Then the entry closes connections for "answers_unread"

  # Guards against a refusal that promises more than is known: the request was not read.
  Scenario: a caller beyond the limit of connections is told at once to come back
    Given a platform on machines of 128 MB and 264 descriptors
    When 32 callers wait for jobs of 20000 ms
    And one more caller connects
    Then it is answered 502 "too_many_connections", with Retry-After and without "not_run"

  # Guards against a connection that stays open without an answer: relief reaches what follows its request,
  # and then the request itself is refused.
  Scenario: a large request with more behind it is refused with an answer while the buffers are full
    Given buffers that are full of requests which wait for answers
    When a caller sends a body of 20,000 bytes and half a request behind it
    Then it is answered 502 "too_many_bytes", with Retry-After and without "not_run"
    And its connection is closed

  # Guards against a limit on introductions that cuts off known agents.
  Scenario: a peer that sends large frames at once after its introduction is understood
    Given a stream whose peer sends its introduction and 3 frames of 40,000 bytes in one write
    When the introduction is received, and the frames after it
    Then all 4 messages have arrived

  # Guards against received bytes that wait in the kernel, which count as a process's memory, while it is not
  # run.
  Scenario Outline: what a process has not read yet is bounded: <form>
    Given a platform on machines of 128 MB and 700 descriptors
    When the entry is suspended while 200 clients send <form>
    Then what it had not read fits into its memory
    And the process lives, within its memory and descriptors
    And an ordinary job is served

    Examples:
      | form                          |
      | a header field without end    |
      | a request line without end    |
      | empty lines without end       |
      | a chunk extension without end |
      | a trailer field without end   |

  # Guards against limits that ordinary callers meet.
  Scenario Outline: a request at a limit is served in calm: <request>
    Given a platform on machines of 128 MB and 700 descriptors
    When a caller sends <request>, and reads the answers
    Then each of its requests is answered

    Examples:
      | request                                |
      | a head of the most bytes               |
      | a head of the most bytes, small fields |
      | a body of the most bytes               |
      | a chunked body of the most bytes       |
      | small chunks of the most bytes         |
      | a body that comes slowly               |
      | trailer fields                         |
      | chunk extensions                       |
      | empty lines before the request         |
      | 200 requests at once                   |
      | 50 jobs at once                        |
