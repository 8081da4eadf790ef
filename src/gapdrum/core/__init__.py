"""The decisions on jobs, tasks and runners: no I/O, and the time is given."""
