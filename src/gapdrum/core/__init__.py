"""The decisions on jobs, tasks and runners, without I/O; callers pass the time.

Terms:

- An entry is a process that accepts jobs, owns them until they end and places their tasks.
- An agent is the only caller of the runner on its machine; it starts and stops runs there for
  entries. A runner executes runs; an upstream is the group of runners that a queue's jobs use.
- A job has tasks. Each placement of a task is an attempt; its execution is a run.
- An incarnation is one life of a process or of its lease: an entry that loses its lease, or an
  agent or runner that restarts, goes on as a new one. The owner of a job is one incarnation of an
  entry; the job's epoch increases with each new owner.
- A job is durable if it has a row in the store, so that it survives its owner. The caller of a
  non-durable job waits for its end, and submits it again if the owner is lost.
- The entry's lease, in the store, allows it to act for its durable jobs. The runner's lease keeps
  all its runs alive; polls of its agent renew it. A run's lease in ``run_bounds`` is the time by
  which the runner's lease must have ended for this run's sake.
- A grant is the time until which an agent acts for an owner without a further echo.
- An entry takes over the durable jobs of a lost entry, and claims them: it states that it owns
  them from an epoch on. An agent adopts a run for the new owner: it lets the run continue for it.
"""
