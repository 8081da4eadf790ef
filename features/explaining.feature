Feature: a failure is explained afterwards from logs and figures

  Scenario: the logs of all processes join into the timeline of a request
    Given a platform with 2 entries and 2 agents
    When the waiting job "00000000000000e1" of 3 tasks of 100 ms is submitted at entry 0
    And stored jobs fill all runners for 3000 ms
    And the waiting job "00000000000000e2" of 2 tasks of 100 ms is submitted at entry 1
    Then the timeline of "00000000000000e1" says "ended succeeded after"
    And the timeline of "00000000000000e2" says "given up, not run: no room"
    And the timeline of the call "call-7" of "00000000000000e1" says "ended succeeded after"
    And the timeline of "00000000000000e9" says "no process has logged this request"

  Scenario: figures tell decisions by reason, and durations
    Given a platform with 1 entries and 1 agents
    When the waiting job "00000000000000e3" of 3 tasks of 100 ms is submitted at entry 0
    Then the figures of "entry-0" have these lines
      | line                                                    |
      | gapdrum_events_total{event="task_ended",reason="done"}  |
      | gapdrum_job_ended_total_seconds_bucket                  |
      | gapdrum_free_cpu_milli 16000.0                          |
      | gapdrum_agents_connected 1.0                            |
      | gapdrum_log_lines_dropped_total 0.0                     |
    And the figures of "agent-0" have these lines
      | line                                                    |
      | gapdrum_entries_connected 1.0                           |
      | gapdrum_runs 0.0                                        |

  Scenario: a reader that does not read holds nothing up, and what is dropped is counted
    Given an event log whose reader does not read
    When 20000 lines are written
    Then writing took no wait, and dropped lines are counted by event
    When the reader reads
    Then only whole lines were written

  Scenario: what a timer's callback lets pass is written with its trace, and the timer goes on
    Given an event log whose reader does not read
    When a callback of its timers fails twice
    Then 2 lines "unexpected" tell the trace

  Scenario: what was lost in a run is told by reason
    Given logs of jobs that were served, refused, given up, late and left without an end
    Then "gapdrum logs losses" tells of these jobs
      | jobs | reason                                 |
      | 2    | refused at once: overloaded            |
      | 1    | refused after a wait                   |
      | 1    | late: its first task started late      |
      | 1    | late: its last task started late       |
      | 1    | late: its tasks began in time, and its answer came late |
      | 1    | late: a start came to nothing (no_room) |
      | 1    | no end is logged, it had begun         |

  Scenario: losses are told by zone, by seconds from the first line, for programs, and drawn
    Given logs of jobs that were served, refused, given up, late and left without an end
    Then "gapdrum logs losses" tells of 8 jobs in "moka-hall" in second 0
    And it draws 8 jobs in second 0

  Scenario: figures tell the messages of streams by direction and kind
    Given a process that has sent 3 "AgentBeat" and received 2 "BeatEcho"
    Then its figures tell 3 "AgentBeat" that were sent
    And its figures tell 2 "BeatEcho" that were received
