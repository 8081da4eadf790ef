"""Lists every event that a process on the platform may log, with its fields.

A log line has ``t_ms`` (wall-clock time), ``at`` (the instance), ``event`` and the fields below.
``docs/LOGS.md`` is generated from this list; a test compares the list with the code.
"""

import attrs


@attrs.frozen
class EventKind:
    """An event: what it means, and the names of its fields."""

    name: str
    meaning: str
    fields: tuple[str, ...] = ()


KINDS: dict[str, EventKind] = {}


def _add(name: str, meaning: str, *fields: str) -> None:
    KINDS[name] = EventKind(name, meaning, fields)


# Processes and their dependencies.
_add("started", "The process is ready to serve.", "role", "zone", "life")
_add(
    "process_stalled",
    "The process came late by `late_ms`, or was not run by its machine for `not_run_ms`, in a "
    "quarter of a second or since its start (`phase`); `cause` is `not_run`, `busy`, `blocked` (in "
    "a call, or stopped by a signal) or `suspended`, with the processor time used meanwhile.",
    "phase", "late_ms", "cpu_ms", "not_run_ms", "preemptions", "waits", "cause",
)  # fmt: skip
_add(
    "stall_causes_unknown",
    "The kernel does not tell for how long the process was not run: `process_stalled` has no "
    "`not_run_ms`, and no cause `not_run`.",
    "reason",
)  # fmt: skip
_add("stopping", "The process received SIGTERM; it finishes open work before it exits.", "open")
_add("stopped", "The process exits.", "jobs_handed_over")
_add("settings_signal", "The process received SIGHUP.", "note")
_add(
    "lines_dropped",
    "Log lines were dropped because of the rate limit or a slow reader; total since the start.",
    "total",
)
_add(
    "task_crashed",
    "A background task failed with an internal error; periodic work is restarted.",
    "text",
)
_add("unexpected", "An exception was not handled.", "text")
_add("store_lost", "The store stopped answering.", "reason")
_add("store_regained", "The store answers again.", "reason")
_add(
    "table_followed",
    "No entry reports drained zones, so the agent reads the operators' table itself.",
    "silent_ms",
)
_add("table_left", "An entry follows the operators' table again, so the agent stops reading it.")
_add(
    "row_unreadable",
    "A row of the store that another writer wrote can't be read; it is skipped.",
    "place",
    "reason",
)
_add("operator_feed_lost", "The change feed of the operators' table is interrupted.", "code")
_add("operator_feed_regained", "The change feed of the operators' table works again.", "version")
_add(
    "operator_feed_restarted",
    "The store dropped the feed's history; the table is read again.",
    "after",
)
_add(
    "zones_drained",
    "The set of drained availability zones has changed; its version and its source.",
    "zones",
    "version",
    "former_version",
    "source",
)
_add(
    "configuration_in_force",
    "A newer configuration is in force, from the operators' table or from another entry.",
    "version",
    "queues",
    "source",
)
_add(
    "configuration_rejected",
    "The row of the configuration can't be read.",
    "version",
    "reason",
    "source",
)
_add(
    "configuration_not_told",
    "The store returned no configuration, and the other entry that was asked did not answer.",
    "peer",
    "reason",
)
_add(
    "configuration_finding",
    "Settings of a queue are invalid; the previous values or the defaults stay in force.",
    "version",
    "place",
    "reason",
)
_add(
    "room_kept",
    "Free room of a runner is reserved, so the queue can't use it; the runner's free and used CPU.",
    "runner",
    "queue",
    "kept_cpu_milli",
    "free_cpu_milli",
    "used_cpu_milli",
)
_add(
    "room_released",
    "No room of the runner is reserved against the queue any more.",
    "runner",
    "queue",
)
_add("entry_feed_lost", "The feed of the entries' addresses is interrupted.", "code", "reason")
_add("entry_found", "The store lists an entry.", "entry", "host")
_add("entry_joined", "The stream to an entry is open.", "entry", "owner")
_add(
    "owner_lease_ended",
    "An owner holds no entry lease any more, by the table of addresses or by an entry. While the "
    "agent holds runs or ends of its durable jobs, it serves the entries that take these over.",
    "owner",
    "source",
)
_add("entry_lost", "The stream to an entry has closed.", "entry", "code")
_add(
    "reach_changed",
    "An entry requests a different share of all agents.",
    "wanted_permille",
    "agents",
    "free_permille",
    "others",
)
_add(
    "owner_not_told",
    "The owner of a cancelled job could not be notified; the entry retries.",
    "request",
    "owner",
    "reason",
)
_add("entry_left", "The agent serves other entries and holds no work of this entry.", "entry")
_add("entry_forgotten", "The agent has removed its link to an entry.", "entry")
_add("message_unknown", "A message has a type that this version does not support.", "kind")
_add("stream_rejected", "A stream was closed because of an invalid message.", "code", "reason")

# Leases of entries.
_add("lease_taken", "This incarnation of the entry holds a lease.", "owner", "version")
_add("lease_call_failed", "A call that renews or reads leases failed.", "code", "reason")
_add("lease_lost", "Another entry has ended the lease of this incarnation.", "owner", "version")
_add("lease_ended", "This entry has ended the expired lease of another entry.", "entry", "version")
_add(
    "owners_gone",
    "Incarnations of entries have ended; the entry searches for their jobs.",
    "entries",
)
_add("takeover_failed", "The search for jobs without an owner failed.", "code", "reason")

# Requests.
_add(
    "request_rejected", "A request was answered with an error.",
    "path", "status", "code", "reason", "findings",
)  # fmt: skip
_add(
    "request_crashed",
    "A request failed with an internal error; the job's state is unknown to its caller.",
    "path",
    "error",
)
_add(
    "requests_refused",
    "Requests of one second were refused before their body was parsed.",
    "reason",
    "status",
    "count",
)
_add(
    "connections_closed",
    "Connections of one second were closed without a response: their peers left answers unread, or "
    "sent no request while there were too many connections or strange streams.",
    "reason",
    "count",
)
_add("queue_unknown", "No queue is configured for this host and path.", "path", "method", "version")
_add(
    "job_submitted", "A caller submits a job; ``call`` is the caller's identifier of the call.",
    "request", "call", "queue", "configuration",
)  # fmt: skip
_add(
    "job_accepted",
    "The row of the job is stored.",
    "request",
    "queue",
    "tasks",
    "version",
    "store_ms",
)
_add(
    "job_begun",
    "A caller waits for the job; the objective follows from the stated work of its longest chain.",
    "request",
    "queue",
    "tasks",
    "objective_ms",
    "chain_ms",
    "latency_factor",
)
_add("job_known", "The job had been submitted before.", "request", "queue", "store_ms")
_add(
    "job_refused", "The job was not run here; the response says when to retry.",
    "request", "queue", "reason", "status", "retry_after_s",
)  # fmt: skip
_add("job_not_stored", "The store rejected the job's row.", "request", "reason")
_add(
    "wait_estimated", "The job is refused, as its estimated wait exceeds its limit.",
    "request", "wait_ms", "begin_within_ms", "waiting_jobs", "free_cpu_milli",
)  # fmt: skip
_add("job_unsettled", "It is unknown whether the store holds the job's row.", "request", "queue")
_add(
    "job_given_up", "The job found no room in time and was not run.",
    "request", "waited_ms", "objective_ms", "begin_within_ms", "waiting_jobs", "free_cpu_milli",
)  # fmt: skip
_add("job_cancelled", "A caller has cancelled the job.", "request", "owner", "epoch")
_add(
    "job_taken_over", "This entry owns the job from now on.",
    "request", "epoch", "version", "done", "tasks", "failure_limit",
)  # fmt: skip
_add(
    "job_rerouted", "The job's queue has a new name or upstream by the configuration.",
    "request", "queue", "upstream", "former", "version",
)  # fmt: skip
_add(
    "job_ended", "The job has ended, and its callers are notified.",
    "request", "state", "epoch", "store_ms", "total_ms", "objective_ms",
)  # fmt: skip
_add(
    "caller_gone", "A waiting caller of the job closed its connection or reached its time limit.",
    "request", "reason", "waited_ms",
)  # fmt: skip
_add("job_dropped", "This entry stops tracking the job.", "request", "epoch", "reason")
_add("end_unsettled", "It is unknown whether the store holds the job's end.", "request", "code")
_add("progress_stored", "Ends of tasks of a long job are stored.", "request", "ends")
_add("progress_unsettled", "Ends of tasks of a long job could not be stored.", "request", "code")
_add(
    "unowned_end_settled",
    "The end of a run of an ended job may be acknowledged; an end of an attempt below "
    "`counted_from` counts only if it is a failure that the owner had counted.",
    "request",
    "task",
    "attempt",
    "end",
    "state",
    "counted_from",
    "counts",
    "runner",
)
_add("lookup_failed", "The rows of a job could not be read.", "request", "code")

# Tasks.
_add(
    "task_held",
    "The task waits for room, or is held back where it would end late.",
    "request",
    "task",
    "reason",
)
_add(
    "task_placed", "The entry orders the task to start at a runner.",
    "request", "task", "attempt", "runner", "free_cpu_milli", "heard_ms_ago", "slowness_permille",
    "near", "expected_ms",
)  # fmt: skip
_add("placement_failed", "The placement of a job has raised an exception.", "request", "error")
_add("task_started", "The runner has started the task.", "request", "task", "attempt", "runner")
_add(
    "task_adopted",
    "The entry adopts a run that an earlier owner started.",
    "request",
    "task",
    "attempt",
    "runner",
)
_add(
    "task_released",
    "The task was not started, or its run is over without an end; it waits again. For `not_held` "
    "and `runner_not_told`, `why` tells if the agent had restarted, never reported the run, or "
    "lost its outcome.",
    "request", "task", "attempt", "runner", "reason", "why",
)  # fmt: skip
_add(
    "runner_crashed_under",
    "A runner has crashed while it held the task; `alone` tells whether nothing else ran there.",
    "request", "task", "attempt", "runner", "crashes", "alone",
)  # fmt: skip
_add(
    "outcomes_resent",
    "An entry has joined; the agent sends the outcomes of runs that it may not have received.",
    "owner", "outcomes", "runners", "oldest_ms",
)  # fmt: skip
_add(
    "outcome_dropped",
    "The agent keeps too many outcomes for one owner, and has dropped the oldest.",
    "request", "task", "attempt", "owner", "since_ms_ago",
)  # fmt: skip
_add(
    "end_not_withheld",
    "Too many ends wait for their owners; the runner may forget the oldest. An agent that restarts "
    "before its owner has received it can't report it.",
    "request", "task", "attempt", "owner", "since_ms_ago",
)  # fmt: skip
_add(
    "task_straggles",
    "The run is stalled or slow; its expected end here, and on another runner from scratch.",
    "request", "task", "attempt", "runner", "reason", "percent", "moved",
    "ends_here_ms", "ends_elsewhere_ms", "others_permille",
)  # fmt: skip
_add(
    "task_stop_ordered",
    "The entry orders the agent to stop the run.",
    "request",
    "task",
    "attempt",
    "runner",
)
_add(
    "task_ended", "The runner lists the end of a run.",
    "request", "task", "attempt", "end", "runner", "ran_ms",
)  # fmt: skip
_add(
    "event_of_earlier_submission", "An event of an earlier submission of the job is ignored.",
    "request", "task", "attempt", "kind", "reason", "runner",
)  # fmt: skip
_add("order_refused", "The agent refuses to start the run.", "request", "task", "attempt", "reason")
_add(
    "start_rejected", "The runner refuses to start the run.",
    "request", "task", "attempt", "status", "reason",
)  # fmt: skip
_add("stop_unanswered", "The runner has not answered a stop request.", "task", "attempt", "code")
_add(
    "run_stopped_for_silence",
    "The run's owner is silent; ``silent_ms`` is set if this agent incarnation has heard from it.",
    "request", "task", "attempt", "owner", "silent_ms",
)  # fmt: skip
_add(
    "run_cut_short",
    "A run was stopped or its lease expired; how long its owner was silent, and the stop's age.",
    "request", "task", "attempt", "end", "owner", "silent_ms", "stop_ms",
)  # fmt: skip
_add(
    "runs_lapsed_unseen",
    "A runner is unreachable, and the leases of all its runs have expired.",
    "runner",
    "runs",
)
_add(
    "run_stopped_for_owner", "The run is stopped, as the entry at which its caller waited is gone.",
    "request", "task", "attempt", "owner",
)  # fmt: skip

# Agents and runners.
_add("agent_joined", "The stream of an agent is open.", "agent", "incarnation")
_add("agent_disconnected", "The stream of an agent has closed.", "agent")
_add("agent_departed", "The agent serves other entries from now on.", "agent")
_add("agent_lost", "The agent is lost: no run can still be active there.", "agent", "silent_ms")
_add("runner_state", "The state of a runner has changed.", "runner", "state")
_add("runner_found", "The agent has identified its runner.", "runner", "address")
_add("runner_not_found", "The runner at this address could not be identified.", "address", "code")
_add(
    "runner_listed",
    "The platform's list of runners gives the runner's capacity.",
    "runner",
    "cpu_milli",
)
_add(
    "runner_not_listed",
    "The platform's list of runners could not be used.",
    "runner",
    "code",
    "reason",
)
_add(
    "runner_looked",
    "The agent has polled the runner for the first time and knows its runs and ends.",
    "runner",
    "fence",
    "running",
    "ended",
)
_add(
    "runner_reported", "The capacity or the draining state of the runner has changed.",
    "runner", "draining", "cpu_milli", "sequence",
)  # fmt: skip
_add(
    "runner_unreachable", "The runner does not answer polls; it offers no room.",
    "runner", "reason",
)  # fmt: skip
_add(
    "runner_answer_lost",
    "Responses of the runner were lost; the agent polls it more often.",
    "runner",
)
_add("runner_reachable", "The runner answers polls again.", "runner")
_add(
    "runner_suspect",
    "The runner is ejected after consecutive failures; it gets no work for ``rest_ms``.",
    "runner",
    "rest_ms",
)
_add(
    "runner_on_trial",
    "The runner is half-open after an ejection: it gets one run at a time.",
    "runner",
)
_add("runner_leaving", "The runner has announced that it shuts down.", "runner", "runs")
_add("runner_gone", "This incarnation of the runner has ended.", "runner", "reason")
_add(
    "heartbeat_outdated", "A heartbeat arrived after a newer one, or from an old incarnation.",
    "runner", "sequence",
)  # fmt: skip
_add("heartbeat_rejected", "A heartbeat can't be read.", "runner", "reason")
_add("look_rejected", "The runner rejected a poll.", "runner", "status", "reason")
_add(
    "lease_let_lapse",
    "The agent has let the runner's lease expire on purpose.",
    "runner",
    "clock_ms",
)
_add(
    "last_renewal_failed",
    "The renewal of the runner's lease before the agent's shutdown failed.",
    "runner",
    "code",
)

# Durations that are exposed as histograms, by event and field.
LATENCIES = {
    ("job_accepted", "store_ms"),
    ("job_ended", "store_ms"),
    ("job_ended", "total_ms"),
    ("job_given_up", "waited_ms"),
    ("task_ended", "ran_ms"),
}
