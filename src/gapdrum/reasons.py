"""Stable reason codes of decisions, answers and refusals; docs/API.md lists them."""

# Final states of a task in an answer.
DONE = "done"
FAILED = "failed"
NOT_RUN = "not_run"
UNKNOWN = "unknown"

# Outcomes of a job.
COMPLETE = "complete"

# Reasons for the final state of a task.
RUNNER_ERROR = "runner_error"
CONNECTION_LOST = "runner_connection_lost"
CONNECTION_REFUSED = "runner_connection_refused"
AGENT_GONE = "agent_gone"
AGENT_SILENT = "agent_silent"
DEADLINE = "deadline_passed"
CANCELLED = "cancelled"
RETRY_BUDGET = "retry_budget_spent"
TAKEN_OVER = "taken_over"
NO_RUNNER_LEFT = "no_runner_left"
RECORDS_GONE = "records_gone"
STORE_UNSETTLED = "claim_unsettled"

# Decisions on a submission.
CLAIMED = "claimed"
ATTACHED = "attached_to_earlier_submission"
FOLLOWED = "followed_at_owner"
TOOK_OVER = "took_over"
OWNER_UNREACHABLE = "owner_unreachable"
SUPERSEDED = "superseded_by_higher_epoch"
ANSWERED = "answered"

# Decisions on a task.
PLACED = "placed"
HELD_NO_FREE_SLOT = "held_no_free_slot"
HELD_TEAM_LIMIT = "held_team_limit"
HELD_ZONE_DRAINED = "held_zone_drained"
RETURNED = "returned_never_started"
RETRIED = "retried"
HEDGED = "hedged"

# Refusals.
STORE_UNAVAILABLE = "store_unavailable"
UPSTREAM_UNKNOWN = "upstream_unknown"
DEADLINE_UNMEETABLE = "deadline_unmeetable"
NEVER_FITS = "can_never_run"
OVERLOADED = "overloaded"
TEAM_QUOTA = "team_quota_spent"
LEAVING = "entry_leaving"
NO_RUNNER = "no_runner_ready"

# Decisions on a runner.
RUNNER_EJECTED = "runner_ejected"
RUNNER_PROBATION = "runner_on_probation"
RUNNER_PASSED = "runner_passed_probation"
RUNNER_LEAVING = "runner_leaving"
RUNNER_SILENT = "runner_silent"
RUNNER_JOINED = "runner_joined"
