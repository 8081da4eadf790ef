"""Callers of the soak: they submit, wait, leave or give up, and submit the same job again."""

import http.client
import json
import math
import random
import socket
import threading
import time

import attrs
from local_system import HOST
from platform_system import CALLER_HOST, RESUBMIT_MS, PlatformSystem

TASK_CPU_MILLI = 2_000
TRIES = 5
CONNECT_TIMEOUT_S = 1.0
CONNECT_PAUSE_S = 0.02  # between tries to reach any entry, while all are away
CONNECT_LIMIT_S = 10.0
LEAVING_SHARE = 0.35  # of the submissions whose caller leaves before its deadline
LEFT_OPEN_SHARE = 0.3  # of the callers that give up and leave their connection open
LEAVE_S = (0.2, 3.0)
DEADLINE_MS = (600, 6_000)
REFUSED_PAUSE_S = 0.1  # before a caller whose job was submitted before tries again
REFUSED_TRIES = 30
QUICK_PAUSE_S = (0.2, 1.2)  # before the next job of a caller that was answered at once
HOT_RACK = "r1"
HOT_SHARE = 0.4  # of the jobs, whose data lie on one rack
LONG_TASK_SHARE = 0.03  # of the jobs that take many times as long as they state
LONG_TASK_FACTOR = 7
ESTIMATE_SPREAD = 0.4  # of the logarithm of what is stated by what is true
# Short work is urgent and long work patient; all compete for the same runners.
QUEUES_BY_RUN_MS = ((150, "flags"), (400, "tags"), (math.inf, "certs"))
REFUSED = (429, 503)
UNSETTLED = (0, 502, 504)  # what a caller answers by submitting its job again


@attrs.frozen
class Submission:
    """One submission of a job, and how its wait ended; times are of the wall clock."""

    entry: int
    sent_ms: int
    over_ms: int
    how: str


@attrs.define
class SubmittedJob:
    """A job as its caller knows it."""

    job_id: str
    durable: bool
    statuses: list[int] = attrs.Factory(list)
    state: str = ""
    submissions: list[Submission] = attrs.Factory(list)
    queue: str = "flags"

    @property
    def refused(self) -> bool:
        """Tell whether each submission was refused: then it must never run."""
        return set(self.statuses) <= set(REFUSED)


@attrs.frozen
class WaitLimits:
    """When a caller stops waiting, in seconds of the steady clock, and what it does then."""

    deadline_ms: int
    deadline_s: float
    leaves_s: float | None
    stays_open: bool

    @property
    def until_s(self) -> float:
        """Return when it stops waiting."""
        return self.deadline_s if self.leaves_s is None else min(self.leaves_s, self.deadline_s)


class Callers:
    """Threads that each submit one job after the other, until told to stop.

    A submission that ends without a settled answer is made again ``RESUBMIT_MS`` after the moment
    at which it ended for its caller, at any entry: its connection broke, it closed the connection
    itself, or its deadline passed. An entry that refuses the connection was told nothing, so the
    next one is tried at once.
    """

    def __init__(self, system: PlatformSystem, seeds: list[float]) -> None:
        self.jobs: list[SubmittedJob] = []
        self._system = system
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._waiting: dict[http.client.HTTPConnection, int] = {}
        self._left_open: list[http.client.HTTPConnection] = []
        self._threads = [threading.Thread(target=self._call, args=(seed,)) for seed in seeds]

    def start(self) -> None:
        """Begin to submit."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Submit no new jobs."""
        self._stop.set()

    def join(self) -> None:
        """Wait until the last has left."""
        for thread in self._threads:
            thread.join()
        for connection in self._left_open:
            connection.close()

    def leave(self, entries: set[int], chooser: random.Random) -> int:
        """Let about half of those who wait at these entries leave now; return how many."""
        with self._lock:
            there = [c for c, entry in self._waiting.items() if entry in entries]
        leaving = [connection for connection in there if chooser.random() < 0.5]
        for connection in leaving:
            try:
                connection.sock.shutdown(socket.SHUT_RDWR)
            except (OSError, AttributeError):
                continue  # it was answered, or closed, meanwhile
        return len(leaving)

    def _call(self, seed: float) -> None:
        chooser = random.Random(seed)
        # Drawn by itself, so that seeds submit the same jobs whatever callers do then.
        patience = random.Random(f"patience {seed}")
        while not self._stop.is_set():
            job = SubmittedJob(f"{chooser.getrandbits(64):016x}", chooser.random() < 0.5)
            self.jobs.append(job)
            self._submit(job, chooser, patience)
            time.sleep(chooser.uniform(0.0, 0.3))
            if job.durable or job.refused:
                # Else those whose jobs are answered at once pile up what nobody else finds room by.
                time.sleep(patience.uniform(*QUICK_PAUSE_S))

    def _submit(self, job: SubmittedJob, chooser: random.Random, patience: random.Random) -> None:
        """Hand a job in, and again while nothing is known of it, as callers do."""
        step = {"count": chooser.randint(1, 6), "cpu": TASK_CPU_MILLI}
        # The longest outlast the silence after which an entry takes a run for over.
        run_ms = chooser.choice((30, 150, 400, 1_500, 4_000))
        job.queue = next(name for max_ms, name in QUEUES_BY_RUN_MS if run_ms <= max_ms)
        document = _describe(step, run_ms, random.Random(f"shape {job.job_id}"))
        if not job.durable:
            document["best_effort"] = True
        body = json.dumps(document).encode()
        unsettled = refused = 0
        while unsettled < TRIES and refused < REFUSED_TRIES:
            reached = self._connect(chooser.randrange(len(self._system.entries)))
            if reached is None:
                return
            status, over_s = self._wait(job, body, *reached, patience)
            job.statuses.append(status)
            if self._stop.is_set() and not job.durable:
                return
            if status in UNSETTLED:
                unsettled += 1
                time.sleep(max(0.0, over_s + RESUBMIT_MS / 1_000 - time.monotonic()))
            elif status in REFUSED and unsettled:
                # Only this submission is refused: what is left of others must still meet a new one.
                refused += 1
                time.sleep(REFUSED_PAUSE_S)
            else:
                return

    def _connect(self, entry: int) -> tuple[http.client.HTTPConnection, int] | None:
        """Return a connection to an entry, the next one if it is away; None if all stay away."""
        entries = self._system.entries
        limit_s = time.monotonic() + CONNECT_LIMIT_S
        while time.monotonic() < limit_s:
            for number in range(entry, entry + len(entries)):
                port = entries[number % len(entries)].port
                connection = http.client.HTTPConnection(HOST, port, timeout=CONNECT_TIMEOUT_S)
                try:
                    connection.connect()
                except OSError:
                    continue
                return connection, number % len(entries)
            time.sleep(CONNECT_PAUSE_S)
        return None

    def _wait(
        self,
        job: SubmittedJob,
        body: bytes,
        connection: http.client.HTTPConnection,
        entry: int,
        chooser: random.Random,
    ) -> tuple[int, float]:
        """Submit once; return the status, 0 without an answer, and when the wait was over."""
        sent_ms = time.time_ns() // 1_000_000
        patience = _draw_patience(chooser)
        with self._lock:
            self._waiting[connection] = entry
        status = 0
        try:
            status = self._ask(job, body, connection, patience)
            over_s, how = time.monotonic(), f"answered {status}"
        except TimeoutError:
            if patience.leaves_s is not None and patience.leaves_s < patience.deadline_s:
                over_s, how = time.monotonic(), "left"
            else:
                over_s, how = patience.deadline_s, "gave up"
        except (OSError, http.client.HTTPException, AttributeError):
            over_s, how = time.monotonic(), "broke"
        with self._lock:
            del self._waiting[connection]
        if how == "gave up" and patience.stays_open:
            how = "gave up, left open"
            self._left_open.append(connection)
        else:
            connection.close()
        over_ms = time.time_ns() // 1_000_000 - round((time.monotonic() - over_s) * 1_000)
        job.submissions.append(Submission(entry, sent_ms, over_ms, how))
        return status, over_s

    @staticmethod
    def _ask(
        job: SubmittedJob, body: bytes, connection: http.client.HTTPConnection, patience: WaitLimits
    ) -> int:
        headers = {"Host": CALLER_HOST, "X-Deadline": str(patience.deadline_ms)}
        connection.request("POST", f"/{job.queue}/{job.job_id}", body, headers)
        connection.sock.settimeout(max(0.001, patience.until_s - time.monotonic()))
        reply = connection.getresponse()
        answer = json.loads(reply.read() or b"{}")
        if reply.status not in UNSETTLED:
            job.state = answer.get("state", "")
        return reply.status


def _describe(step: dict, run_ms: int, shape: random.Random) -> dict:
    """Return a job of one step: how long its tasks take is stated roughly, and at times wrongly."""
    step["estimate_ms"] = max(1, round(run_ms * shape.lognormvariate(0.0, ESTIMATE_SPREAD)))
    spec = {"run_ms": run_ms}
    if run_ms <= QUEUES_BY_RUN_MS[0][0] and shape.random() < LONG_TASK_SHARE:
        spec["run_ms"] *= LONG_TASK_FACTOR
    if shape.random() < HOT_SHARE:
        spec["rack"] = step["affinity"] = HOT_RACK
    return {"spec": json.dumps(spec), "steps": [step]}


def _draw_patience(chooser: random.Random) -> WaitLimits:
    now_s = time.monotonic()
    deadline_ms = chooser.randint(*DEADLINE_MS)
    leaves = chooser.random() < LEAVING_SHARE
    leaves_s = now_s + chooser.uniform(*LEAVE_S)
    stays_open = chooser.random() < LEFT_OPEN_SHARE
    deadline_s = now_s + deadline_ms / 1_000
    return WaitLimits(deadline_ms, deadline_s, leaves_s if leaves else None, stays_open)
