Feature: A job's path through separate processes
  A job submitted over HTTP is claimed and placed, each task is started once, and the answer is
  complete.

  Background:
    Given a system of 2 entries and 3 runners

  Scenario: A job gets a complete answer, the same from every entry
    When the job "flag-1" of 5 tasks of 50 ms is submitted to entry 0
    Then the answer is complete
    When the job "flag-1" of 5 tasks of 50 ms is submitted to entry 1
    Then the answer is complete
    And the job "flag-1" can be fetched from entry 1
    And every task started exactly once

  Scenario: The same key with another body is a conflict
    When the job "flag-2" of 1 tasks of 50 ms is submitted to entry 0
    And the job "flag-2" of 2 tasks of 50 ms is submitted to entry 1
    Then the call fails with status 409 and code "key_conflict"

  Scenario: Invalid input is refused with every finding and its place
    When an invalid job is submitted
    Then the call fails with status 400 and code "invalid_input"
    And the findings name the places "$.team, $.upstream, $.tasks[1].payload"

  Scenario: A job for an upstream that no runner announced is refused as not run
    When the job "flag-3" for upstream "nowhere" is submitted
    Then the call fails with status 404 and code "upstream_unknown"
    And the refusal says "not_run"

  Scenario: Every entry can explain the decisions about a job
    When the job "flag-4" of 2 tasks of 50 ms is submitted to entry 0
    Then entry 1 explains "flag-4" with the codes "claimed, placed, answered"

  Scenario: An answer that its owner has evicted is found in the journal
    Given the setting "answer_retention_ms" of "" is 1000
    When the job "flag-5" of 3 tasks of 50 ms is submitted to entry 0
    And the owner has had time to evict its answer
    Then the job "flag-5" can be fetched from entry 0
    And entry 0 explains "flag-5" with the codes "claimed, placed, answered"
    And every task started exactly once

  Scenario: A team's rate limit delays tasks, and all of them still start
    Given the setting "team_starts_limit_per_s" of "" is 8
    When the job "flag-6" of 16 tasks of 20 ms is submitted to entry 0
    Then the answer is complete
    And every task started exactly once

  Scenario: A replayed trace reaches its stated outcome
    When the trace "short.jsonl" is replayed
    Then its stated outcome holds
    And every task started exactly once
