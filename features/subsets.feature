Feature: Each agent serves a bounded subset of the entries
  If all agents served all entries, streams, heartbeats and room reports would grow with the product
  of their numbers.

  Scenario: subsets are bounded, even and the same in every process
    Given 35 entries and 160 agents in 5 zones
    Then each agent serves 4 entries, at least 2 of them in its own zone
    And each entry is served by 6 to 36 agents
    And a lost entry changes only the subsets that it was in

  Scenario: in a small fleet each agent serves every entry
    Given 4 entries and 11 agents in 2 zones
    Then each agent serves 4 entries, at least 2 of them in its own zone

  Scenario: entries that are down are replaced by others, and still tried
    Given 35 entries and 160 agents in 5 zones
    When the entries of a zone are down
    Then each agent serves 4 entries that are not down
    And each agent still tries those that it would serve

  Scenario: entries of a drained zone are served by more agents of open zones
    Given 11 entries and 66 agents in 3 zones
    When a zone is drained
    Then each agent of an open zone serves one more of its entries, and other agents serve no more
    And its entries are served by 18 to 30 agents of open zones

  Scenario: an entry is served by the share of all agents that it requests
    Given 35 entries and 160 agents in 5 zones
    When an entry requests 700 thousandths of the agents
    Then 96 to 128 agents serve it
    When an entry requests 1000 thousandths of the agents
    Then 160 to 160 agents serve it

  Scenario: a few entries with few agents do not make all entries request more
    Given 80 entries and 220 agents in 4 zones
    When each entry adjusts its requested share for 10 s by what the others see
    Then at most 8 entries request more
    And an agent serves 10 entries on average at most

  Scenario: an agent holds work of an entry outside its subset
    Given an agent and 7 entries
    When it holds work of an entry that it would not serve
    Then it serves 5 entries, that one among them

  Scenario: an agent finds work of an owner that it does not know
    Given an agent and 7 entries
    When it holds work of an unknown owner
    Then it serves 7 entries
    When it holds nothing any more for a while
    Then it serves 4 entries
    And the entries that it left have dropped its runners at once

  # Guards against an end that only the former owner hears of: it may be cut off from the store only, so
  # its streams stay open while another entry takes its jobs over and does their tasks again.
  Scenario Outline: an agent that holds work of a stored job serves the successors of an owner without a lease
    Given an agent and 24 entries
    When it holds work of a durable job of an entry, whose lease <ends>
    Then it soon serves the entries that may take its jobs over, and at most 7 entries
    When it still holds that work after 2000 ms
    Then it serves 24 entries
    When it holds nothing any more for a while
    Then it serves 4 entries

    Examples:
      | ends                             |
      | is removed from the table        |
      | is replaced in the table         |
      | has ended as another entry tells |

  Scenario: an agent that holds work of a waiting caller's job joins no further entries for its owner's lease
    Given an agent and 24 entries
    When it holds work of a waiting job of an entry, whose lease has ended as another entry tells
    And it still holds that work after 2000 ms
    Then it serves at most 5 entries

  Scenario: the jobs of an owner without a lease are taken over by two entries, the same ones everywhere
    Given 35 entries and 160 agents in 5 zones
    Then each owner has 2 successors, and each entry succeeds at most 8 owners
    And a lost entry changes only the successors of the owners that it succeeds

  Scenario: an order that crosses the agent's leaving message is not started
    Given an agent and 7 entries
    When it holds work of an unknown owner
    And it holds nothing any more, and an entry that it leaves sends an order
    Then the order is not executed
    And the entry takes the task back at once

  Scenario: an entry that dies is replaced within two seconds
    Given an agent and 7 entries
    When an entry that it serves dies
    Then it serves 4 other entries within 2 s

  Scenario Outline: an entry requests more agents if others have what it lacks
    Given an entry that sees <agents> agents and <free> thousandths of room free
    And others that see 30 agents and <spare> thousandths of room free
    When work <waits> for 1200 ms
    Then it requests <wanted> thousandths of all agents

    Examples:
      | agents | free | spare | waits          | wanted |
      | 30     | 0    | 300   | waits          | 700    |
      | 30     | 0    | 300   | does not wait  | 0      |
      | 30     | 0    | 50    | waits          | 0      |
      | 30     | 200  | 300   | waits          | 0      |
      | 10     | 200  | 200   | does not wait  | 700    |

  Scenario: a short lack of room raises no share, and a raised share is lowered slowly
    Given an entry that sees 30 agents and 0 thousandths of room free
    And others that see 30 agents and 300 thousandths of room free
    When work waits for 300 ms
    Then it requests 0 thousandths of all agents
    When work waits for 1200 ms
    Then it requests 700 thousandths of all agents
    When work does not wait for 4000 ms
    Then it requests 700 thousandths of all agents
    When work does not wait for 16000 ms
    Then it requests 0 thousandths of all agents

  Scenario: a requested share is written with the next lease renewal that the store answers
    Given an entry whose lease is held
    When it requests 400 thousandths while the store answers nothing
    And the store answers again
    Then its address requests 400 thousandths

  Scenario: a job that is cancelled at another entry is stopped by its owner
    Given an entry that owns a job whose task runs
    When another entry tells it that the job was cancelled under a higher epoch
    Then it stops the run and drops the job
    And the other entry learns that its message was read
