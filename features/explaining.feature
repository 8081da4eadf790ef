Feature: failures are explained afterwards from logs and metrics

  Scenario: the logs of all processes merge into the timeline of a request
    Given a platform with 2 entries and 2 agents
    When the waiting job "00000000000000e1" of 3 tasks of 100 ms is submitted at entry 0
    And stored jobs fill all runners for 3000 ms
    And the waiting job "00000000000000e2" of 2 tasks of 100 ms is submitted at entry 1
    Then the timeline of "00000000000000e1" says "ended succeeded after"
    And the timeline of "00000000000000e2" says "given up, not run: no room"
    And the timeline of the call "call-7" of "00000000000000e1" says "ended succeeded after"
    And the timeline of "00000000000000e9" says "no process has logged this request"

  Scenario: metrics count decisions by reason, and durations
    Given a platform with 1 entries and 1 agents
    When the waiting job "00000000000000e3" of 3 tasks of 100 ms is submitted at entry 0
    Then the metrics of "entry-0" have these lines
      | line                                                    |
      | gapdrum_events_total{event="task_ended",reason="done"}  |
      | gapdrum_job_ended_total_seconds_bucket                  |
      | gapdrum_free_cpu_milli 16000.0                          |
      | gapdrum_agents_connected 1.0                            |
      | gapdrum_log_lines_dropped_total 0.0                     |
    And the metrics of "agent-0" have these lines
      | line                                                    |
      | gapdrum_entries_connected 1.0                           |
      | gapdrum_runs 0.0                                        |

  Scenario: a blocked log reader delays no writes, and dropped lines are counted
    Given an event log whose reader is blocked
    When 20000 lines are written
    Then no write has blocked, and dropped lines are counted by event
    When the reader continues
    Then only complete lines were written

  Scenario: an exception of a timer callback is logged with its traceback, and the timer continues
    Given an event log whose reader is blocked
    When a timer callback of its process fails twice
    Then 2 lines "unexpected" contain the traceback

  Scenario: losses of a run are listed by reason
    Given logs of jobs that were completed, refused, given up, late or have no logged end
    Then "gapdrum logs losses" lists these jobs
      | jobs | reason                                 |
      | 2    | refused at once: overloaded            |
      | 1    | refused after a wait                   |
      | 1    | late: its first task started late      |
      | 1    | late: its last task started late       |
      | 1    | late: its tasks began in time, and its answer came late |
      | 1    | late: a start came to nothing (no_room) |
      | 1    | no end is logged, it had begun         |

  Scenario: losses are listed as JSON by zone and by second from the first line, and drawn as a chart
    Given logs of jobs that were completed, refused, given up, late or have no logged end
    Then "gapdrum logs losses" lists 8 jobs in "moka-hall" in second 0
    And the chart shows 8 jobs in second 0

  Scenario: metrics count the messages of streams by direction and kind
    Given a process that has sent 3 "AgentBeat" and received 2 "BeatEcho"
    Then its metrics count 3 "AgentBeat" that were sent
    And its metrics count 2 "BeatEcho" that were received
