"""The decisions on jobs, tasks and runners, without I/O; callers pass the time."""
