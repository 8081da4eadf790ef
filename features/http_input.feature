Feature: Invalid HTTP input gets a clear response and does not affect other requests

  Scenario: Malformed, oversized, slow and half-closed requests
    Given a system of 1 entries and 1 runners
    Then these requests get these statuses:
      | request            | status |
      | no JSON            | 400    |
      | deep JSON          | 400    |
      | oversized          | 413    |
      | too many tasks     | 400    |
      | no token           | 401    |
      | unknown path       | 404    |
      | half-closed body   | 400    |
      | slow body          | 408    |
    When the job "h1" of 2 tasks of 50 ms is submitted to entry 0
    Then the answer is complete

  Scenario: Half-open connections do not delay other requests
    Given a system of 1 entries and 1 runners
    When 400 connections send half a request line
    And the job "h2" of 1 tasks of 50 ms is submitted to entry 0
    Then the answer is complete
    And the half-open connections are still open after it
