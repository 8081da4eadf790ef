Feature: Connections that go silent, and heartbeats that come late
  A connection may go silent for good without a reset while new ones work, and what a cut has
  delayed may come after its sender has been replaced.

  Scenario: connections that went silent together cost one time-out
    Given a server that knows 3 connections of a client
    When all of them go silent, and the client calls 3 times
    Then 1 of the calls gets no reply

  Scenario: connections on which something came meanwhile are kept
    Given a server that knows 3 connections of a client
    When one of them goes silent, and the client calls on it and on another
    Then the client has opened 3 connections

  Scenario: an agent replaces a stream that went silent before its grants end
    Given an agent with a stream to an entry
    When it hears nothing of the entry for 750 ms
    Then the stream is cut, while the entry's grant still lasts

  Scenario: an agent that stood still itself cuts nothing before it has read what came meanwhile
    Given an agent with a stream to an entry
    When the agent stands still for 900 ms
    Then the stream is not cut
    When it hears nothing of the entry for 750 ms
    Then the stream is cut, while the entry's grant still lasts

  Scenario: a delayed heartbeat of a runner's predecessor changes nothing
    Given an agent that knows the runner "i-2", which listens at its address
    When a heartbeat of "i-1" comes from that address
    Then the runners that the agent knows are "i-2"
    And the heartbeat was answered with 200

  Scenario: a successor at the address takes over with its first heartbeat
    Given an agent that knows the runner "i-2", which listens at its address
    When "i-3" listens there instead, and its heartbeat comes
    Then the runners that the agent knows are "i-3"

  Scenario: a newcomer is not believed while nobody answers at the address
    Given an agent that knows the runner "i-2", which listens at its address
    When nobody answers there, and a heartbeat of "i-3" comes
    Then the runners that the agent knows are "i-2"
    And the heartbeat was answered with 503

  Scenario: an older heartbeat of a runner does not end its draining
    Given an agent that knows the runner "i-2", which listens at its address
    When its heartbeat 5 says that it drains, and its heartbeat 4 comes after that
    Then it is known as draining

  Scenario: an entry that ends prints nothing of the streams that end with it
    Given an entry with an open stream of an agent
    When its program ends
    Then asyncio has no errors to tell of

  Scenario: an agent that starts while the store is away finds entries by its settings
    Given an entry that listens for agents, and a store that is away
    When an agent starts whose settings name the entry and one that is gone
    Then the agent joins the entry
    When the store returns and names the entry
    Then the agent still has one stream to the entry
    And it knows the entry by its name alone

  # An entry of another version sent a greeting that an agent could not read. The agent ended the stream
  # and connected anew, five times a second for minutes, and wrote nothing.
  Scenario: an agent that can't read what an entry sends says so
    Given a run for a waiting caller, whose owner has just been heard
    When its entry's next stream begins with a greeting that can't be read
    Then the agent's log tells "stream_rejected" with the reason
