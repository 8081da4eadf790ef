Feature: Rows and heartbeats of other writers
  A row of the store or a heartbeat may come from another program: with missing fields, fields of
  other types, unknown states or undecodable bytes. It is rejected and does not affect the others.

  Scenario Outline: a malformed heartbeat adds no runner
    Given an agent that knows the runner "i-2", which listens at its address
    When a heartbeat of "i-9" comes from another address with <field> = <value>
    Then the heartbeat was answered with 400
    And the runners that the agent knows are "i-2"
    And the log names <field>

    Examples:
      | field        | value                         |
      | service      | null                          |
      | service      | 7                             |
      | service      | missing                       |
      | address      | "nowhere"                     |
      | address      | {"host": "10.0.0.1"}          |
      | address      | missing                       |
      | zone         | null                          |
      | zone         | missing                       |
      | state        | "zzz"                         |
      | state        | null                          |
      | state        | ["ready"]                     |
      | state        | missing                       |
      | labels       | [1, null]                     |
      | labels       | "a"                           |
      | labels       | {"a": 1}                      |
      | capacity     | missing                       |
      | capacity     | 16                            |
      | capacity     | {"cpu": "many"}               |
      | capacity     | {"cpu": -1}                   |
      | capacity     | {"cpu": Infinity}             |
      | capacity     | {"cpu": 1000, "mem_mb": true} |
      | clock_ms     | "soon"                        |
      | clock_ms     | NaN                           |
      | sequence     | "4"                           |
      | sequence     | true                          |
      | sequence     | missing                       |
      | cold_left_ms | "0"                           |
      | cold_left_ms | -5                            |

  Scenario Outline: a body that is not a heartbeat is rejected
    Given an agent that knows the runner "i-2", which listens at its address
    When the body <body> comes as a heartbeat of "i-9"
    Then the heartbeat was answered with 400
    And the runners that the agent knows are "i-2"

    Examples:
      | body               |
      | 100000 times "["   |
      | the bytes ff fe 00 |
      | []                 |
      | nothing            |

  Scenario: a malformed heartbeat of a known runner changes nothing
    Given an agent that knows the runner "i-2", which listens at its address
    When a heartbeat of "i-2" comes with the state "zzz"
    Then the heartbeat was answered with 400
    And the runner "i-2" is still ready

  Scenario: unknown fields are ignored
    Given an agent that knows the runner "i-2", which listens at its address
    When a heartbeat of "i-9" comes from another address with mood = "good"
    Then the heartbeat was answered with 200

  Scenario: one malformed machine does not invalidate the list
    Given a list of machines with a malformed one before the runner's
    Then the runner is found in the list

  Scenario: one malformed row does not affect the others, and is logged once
    Given a store whose answers hold malformed rows beside a good one
    When its rows are read twice
    Then the good row is read both times
    And a row whose value can't be decoded is returned and holds no record
    And each malformed row was logged once, with its place

  Scenario Outline: a lease of another writer does not stop an entry from renewing its own
    Given an entry that holds its lease in a store where another lease holds <value>
    When it renews its lease for 6 s
    Then it still holds its lease
    And the other lease is gone from the store

    Examples:
      | value             |
      | text              |
      | nothing           |
      | an address record |

  Scenario: an agent ignores an undecodable address
    Given an agent whose table of addresses holds text, a lease record and a good address
    Then it connects to the good one only

  Scenario: a job with an undecodable row is left unchanged, and the others are taken over
    Given a store with an open job of a lost owner, and one whose row can't be decoded
    When an entry takes over the jobs without an owner
    Then it owns the good job only

  Scenario Outline: arbitrary input is either decoded or rejected with the expected error
    When 400 generated inputs are given to the decoder of <input>
    Then each was decoded, or rejected with <refusal>

    Examples:
      | input             | refusal                     |
      | heartbeats        | ValueError                  |
      | machines          | NoReplyError                |
      | rows              | StoreError                  |
      | configurations    | ValueError                  |
      | jobs              | InvalidInputError           |
      | looks             | NoReplyError                |
      | records           | RecordError                 |
      | stream frames     | FrameError                  |
