Feature: Connections that go silent, and heartbeats that arrive late
  A network fault may silence a connection for good without a reset while new ones work, and a
  heartbeat that it delayed may arrive after its sender has been replaced.

  Scenario: connections that went silent together cost one time-out
    Given a server with 3 open connections of a client
    When all of them go silent, and the client calls 3 times
    Then 1 of the calls gets no reply

  Scenario: connections that received data meanwhile are kept
    Given a server with 3 open connections of a client
    When one of them goes silent, and the client calls on it and on another
    Then the client has opened 3 connections

  Scenario: an agent replaces a stream that went silent before its grants end
    Given an agent with a stream to an entry
    When it receives nothing from the entry for 750 ms
    Then the stream is closed while the entry's grant is still valid

  Scenario: an agent that was suspended closes no stream before it has read what arrived meanwhile
    Given an agent with a stream to an entry
    When the agent is suspended for 900 ms
    Then the stream is not closed
    When it receives nothing from the entry for 750 ms
    Then the stream is closed while the entry's grant is still valid

  Scenario: a delayed heartbeat of a runner's predecessor changes nothing
    Given an agent that knows the runner "i-2", which listens at its address
    When a heartbeat of "i-1" comes from that address
    Then the runners that the agent knows are "i-2"
    And the heartbeat was answered with 200

  Scenario: a successor at the address takes over with its first heartbeat
    Given an agent that knows the runner "i-2", which listens at its address
    When "i-3" listens there instead, and its heartbeat comes
    Then the runners that the agent knows are "i-3"

  Scenario: a heartbeat of a new runner is rejected while nothing answers at its address
    Given an agent that knows the runner "i-2", which listens at its address
    When nothing answers there, and a heartbeat of "i-3" comes
    Then the runners that the agent knows are "i-2"
    And the heartbeat was answered with 503

  Scenario: an older heartbeat of a runner does not end its draining
    Given an agent that knows the runner "i-2", which listens at its address
    When its heartbeat 5 says that it drains, and its heartbeat 4 comes after that
    Then it is known as draining

  Scenario: an entry that exits prints no errors of its open streams
    Given an entry with an open stream of an agent
    When its program ends
    Then asyncio reports no errors

  Scenario: an agent that starts while the store is unavailable finds entries by its settings
    Given an entry that listens for agents, and a store that is unavailable
    When an agent starts whose settings name the entry and one that is gone
    Then the agent joins the entry
    When the store is available again and lists the entry
    Then the agent still has one stream to the entry
    And it knows the entry only by its name

  # An entry of another version sent a greeting that an agent could not decode. The agent closed the
  # stream and reconnected five times a second for minutes, and logged nothing.
  Scenario: an agent logs that it can't decode what an entry sends
    Given a run for a waiting caller, whose owner has just been heard
    When its entry's next stream begins with a greeting that can't be read
    Then the agent's log tells "stream_rejected" with the reason
