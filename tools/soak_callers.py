"""The soak's callers: they submit, wait, disconnect or give up, and resubmit the same job."""

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
CONNECT_PAUSE_S = 0.02  # between attempts to connect, while no entry accepts
CONNECT_LIMIT_S = 10.0
LEAVING_SHARE = 0.35  # of the submissions: the caller disconnects before its deadline
LEFT_OPEN_SHARE = 0.3  # of the callers that give up: they keep their connection open
LEAVE_S = (0.2, 3.0)
DEADLINE_MS = (600, 6_000)
REFUSED_PAUSE_S = 0.1  # before a caller that was refused on a resubmission retries
REFUSED_TRIES = 30
QUICK_PAUSE_S = (0.2, 1.2)  # before the next job of a caller that got its answer at once
HOT_RACK = "r1"
HOT_RACK_SHARE = 0.4  # of the jobs: their data is on that rack
SECOND_STEP_SHARE = 0.3  # of the durable jobs
CANCEL_SHARE = 0.25  # of the durable jobs: they are cancelled, and again until that is acknowledged
CANCEL_S = (0.1, 4.0)  # after the job was accepted
CANCEL_PAUSE_S = 0.3
CANCEL_RUN_MS = 15_000  # of a task of such a job: work that goes on is noticed
BURST_JOBS = 12
BURST_RUN_MS = (100, 300, 1_000, 2_500)
CANCEL_TRIES = 40
CANCELLED = (200, 410)
LONG_TASK_SHARE = 0.03  # of the short jobs: they run longer than their estimate
LONG_TASK_FACTOR = 7
ESTIMATE_SPREAD = 0.4  # standard deviation of log(estimate / real duration)
# Short jobs are in the most urgent queue; all queues share the same runners.
QUEUES_BY_RUN_MS = ((150, "flags"), (400, "tags"), (math.inf, "certs"))
REFUSED = (429, 503)
UNSETTLED = (0, 502, 504)  # after these a caller resubmits its job


@attrs.frozen
class Submission:
    """One submission of a job, and how its wait ended; times are wall-clock times."""

    entry: int
    sent_ms: int
    over_ms: int
    how: str


@attrs.define
class SubmittedJob:
    """A job from its caller's point of view."""

    job_id: str
    durable: bool
    statuses: list[int] = attrs.Factory(list)
    state: str = ""
    submissions: list[Submission] = attrs.Factory(list)
    queue: str = "flags"
    cancelling: bool = False  # set once a cancellation was sent
    cancelled_ns: int = 0  # when it was acknowledged, on the monotonic clock

    @property
    def refused(self) -> bool:
        """Tell whether all submissions were refused: such a job must never run."""
        return set(self.statuses) <= set(REFUSED)


@attrs.frozen
class WaitLimits:
    """When a caller stops waiting, in seconds of the monotonic clock, and what it does then."""

    deadline_ms: int
    deadline_s: float
    leaves_s: float | None
    stays_open: bool

    @property
    def until_s(self) -> float:
        """Return when the caller stops waiting."""
        return self.deadline_s if self.leaves_s is None else min(self.leaves_s, self.deadline_s)


@attrs.frozen
class Burst:
    """Durable jobs that are submitted at once: steps in series, and choices for each job.

    Of the runs of a task, one of ``fail_shares`` fails by the task's own fault. A share of the
    jobs is cancelled at any entry, ``cancel_s`` after the submission.
    """

    steps: int = 2
    run_ms: tuple[int, ...] = BURST_RUN_MS
    fail_shares: tuple[float, ...] = ()
    cancel_share: float = 0.0
    cancel_s: tuple[float, float] = CANCEL_S


PLAIN_BURST = Burst()


class Callers:
    """Threads that each submit one job after another until they are stopped.

    A submission without a final answer is repeated ``RESUBMIT_MS`` after it ended for its caller,
    at any entry. It ends when the connection breaks, the caller closes it or its deadline passes.
    An entry that refuses the connection has received nothing, so the caller tries the next entry
    immediately.
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
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Let callers submit no new jobs."""
        self._stop.set()

    def join(self) -> None:
        """Wait until all threads have ended."""
        for thread in self._threads:
            thread.join()
        for connection in self._left_open:
            connection.close()

    def leave(self, entries: set[int], rng: random.Random) -> int:
        """Disconnect about half of the callers waiting at these entries; return how many."""
        with self._lock:
            there = [c for c, entry in self._waiting.items() if entry in entries]
        leaving = [connection for connection in there if rng.random() < 0.5]
        for connection in leaving:
            try:
                connection.sock.shutdown(socket.SHUT_RDWR)
            except (OSError, AttributeError):
                continue  # the caller was answered or closed the connection meanwhile
        return len(leaving)

    def submit_burst(
        self, entries: list[int], rng: random.Random, burst: Burst = PLAIN_BURST
    ) -> None:
        """Submit durable jobs of several steps at these entries at once."""
        for number in range(BURST_JOBS):
            job = SubmittedJob(f"{rng.getrandbits(64):016x}", durable=True)
            step = {"count": rng.randint(1, 4), "cpu": TASK_CPU_MILLI}
            run_ms = rng.choice(burst.run_ms)
            fail_share = rng.choice(burst.fail_shares) if burst.fail_shares else 0.0
            spec = json.dumps({"run_ms": run_ms, "fail_share": fail_share})
            others = [{**step, "after": [before]} for before in range(burst.steps - 1)]
            document = {"spec": spec, "steps": [step, *others]}
            port = self._system.entries[entries[number % len(entries)]].port
            connection = http.client.HTTPConnection(HOST, port, timeout=CONNECT_TIMEOUT_S)
            body = json.dumps(document).encode()
            self.jobs.append(job)
            job.statuses.append(self._request(connection, "POST", job, body))
            may_cancel = burst.cancel_share > 0 and 200 in job.statuses
            if may_cancel and rng.random() < burst.cancel_share:
                self._cancel_later(job, burst.cancel_s)

    def _cancel_later(self, job: SubmittedJob, cancel_s: tuple[float, float]) -> None:
        rng = random.Random(f"cancel {job.job_id}")
        thread = threading.Thread(target=self._cancel, args=(job, rng, cancel_s))
        self._threads.append(thread)
        thread.start()

    def _call(self, seed: float) -> None:
        rng = random.Random(seed)
        # A generator of its own, so that a seed submits the same jobs whatever callers do.
        wait_rng = random.Random(f"patience {seed}")
        while not self._stop.is_set():
            job = SubmittedJob(f"{rng.getrandbits(64):016x}", rng.random() < 0.5)
            self.jobs.append(job)
            self._submit(job, rng, wait_rng)
            if 200 in job.statuses and _is_cancelled(job):
                self._cancel(job, random.Random(f"cancel {job.job_id}"))
            time.sleep(rng.uniform(0.0, 0.3))
            if job.durable or job.refused:
                # Without a pause such callers would submit so much that other jobs find no room.
                time.sleep(wait_rng.uniform(*QUICK_PAUSE_S))

    def _submit(self, job: SubmittedJob, rng: random.Random, wait_rng: random.Random) -> None:
        """Submit a job, and resubmit it until its caller has a final answer."""
        step = {"count": rng.randint(1, 6), "cpu": TASK_CPU_MILLI}
        # The longest exceed the silence after which an entry assumes that a run has ended.
        run_ms = rng.choice((30, 150, 400, 1_500, 4_000))
        if _is_cancelled(job):
            run_ms = CANCEL_RUN_MS
        job.queue = next(name for max_ms, name in QUEUES_BY_RUN_MS if run_ms <= max_ms)
        shape = random.Random(f"shape {job.job_id}")
        document = _describe(step, run_ms, shape)
        if not job.durable:
            document["best_effort"] = True
        elif shape.random() < SECOND_STEP_SHARE:
            document["steps"].append({**step, "after": [0]})
        body = json.dumps(document).encode()
        unsettled = refused = 0
        while unsettled < TRIES and refused < REFUSED_TRIES:
            reached = self._connect(rng.randrange(len(self._system.entries)))
            if reached is None:
                return
            status, over_s = self._wait(job, body, *reached, wait_rng)
            job.statuses.append(status)
            if self._stop.is_set() and not job.durable:
                return
            if status in UNSETTLED:
                unsettled += 1
                time.sleep(max(0.0, over_s + RESUBMIT_MS / 1_000 - time.monotonic()))
            elif status in REFUSED and unsettled:
                # Only this submission is refused; runs of earlier ones may still exist.
                refused += 1
                time.sleep(REFUSED_PAUSE_S)
            else:
                return

    def _cancel(
        self, job: SubmittedJob, rng: random.Random, cancel_s: tuple[float, float] = CANCEL_S
    ) -> None:
        """Cancel a job at one entry, and again at others until that is acknowledged.

        Jobs are also cancelled after ``stop``: their tasks take longer than the soak waits.
        """
        self._stop.wait(rng.uniform(*cancel_s))
        for _ in range(CANCEL_TRIES):
            reached = self._connect(rng.randrange(len(self._system.entries)))
            if reached is None:
                return
            job.cancelling = True
            if self._request(reached[0], "DELETE", job) in CANCELLED:
                job.cancelled_ns = time.monotonic_ns()
                return
            time.sleep(CANCEL_PAUSE_S)

    @staticmethod
    def _request(
        connection: http.client.HTTPConnection,
        method: str,
        job: SubmittedJob,
        body: bytes | None = None,
    ) -> int:
        """Call an entry once; return the status, 0 without an answer."""
        try:
            headers = {"Host": CALLER_HOST}
            connection.request(method, f"/{job.queue}/{job.job_id}", body, headers)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def _connect(self, entry: int) -> tuple[http.client.HTTPConnection, int] | None:
        """Connect to an entry, or to the next one that accepts; None if no entry does in time."""
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
        rng: random.Random,
    ) -> tuple[int, float]:
        """Submit once; return the status (0 without an answer) and when the wait ended."""
        sent_ms = time.time_ns() // 1_000_000
        limits = _draw_wait_limits(rng)
        with self._lock:
            self._waiting[connection] = entry
        status = 0
        try:
            status = self._post(job, body, connection, limits)
            over_s, how = time.monotonic(), f"answered {status}"
        except TimeoutError:
            if limits.leaves_s is not None and limits.leaves_s < limits.deadline_s:
                over_s, how = time.monotonic(), "left"
            else:
                over_s, how = limits.deadline_s, "gave up"
        except (OSError, http.client.HTTPException, AttributeError):
            over_s, how = time.monotonic(), "broke"
        with self._lock:
            del self._waiting[connection]
        if how == "gave up" and limits.stays_open:
            how = "gave up, left open"
            self._left_open.append(connection)
        else:
            connection.close()
        over_ms = time.time_ns() // 1_000_000 - round((time.monotonic() - over_s) * 1_000)
        job.submissions.append(Submission(entry, sent_ms, over_ms, how))
        return status, over_s

    @staticmethod
    def _post(
        job: SubmittedJob, body: bytes, connection: http.client.HTTPConnection, limits: WaitLimits
    ) -> int:
        headers = {"Host": CALLER_HOST, "X-Deadline": str(limits.deadline_ms)}
        connection.request("POST", f"/{job.queue}/{job.job_id}", body, headers)
        connection.sock.settimeout(max(0.001, limits.until_s - time.monotonic()))
        reply = connection.getresponse()
        answer = json.loads(reply.read() or b"{}")
        if reply.status not in UNSETTLED:
            job.state = answer.get("state", "")
        return reply.status


def _describe(step: dict, run_ms: int, shape: random.Random) -> dict:
    """Return a job of one step whose estimate is inexact, and for some jobs far too low."""
    step["estimate_ms"] = max(1, round(run_ms * shape.lognormvariate(0.0, ESTIMATE_SPREAD)))
    spec = {"run_ms": run_ms}
    if run_ms <= QUEUES_BY_RUN_MS[0][0] and shape.random() < LONG_TASK_SHARE:
        spec["run_ms"] *= LONG_TASK_FACTOR
    if shape.random() < HOT_RACK_SHARE:
        spec["rack"] = step["affinity"] = HOT_RACK
    return {"spec": json.dumps(spec), "steps": [step]}


def _is_cancelled(job: SubmittedJob) -> bool:
    """Return whether the caller of a job will cancel it."""
    return job.durable and random.Random(f"cancelled {job.job_id}").random() < CANCEL_SHARE


def _draw_wait_limits(rng: random.Random) -> WaitLimits:
    now_s = time.monotonic()
    deadline_ms = rng.randint(*DEADLINE_MS)
    leaves = rng.random() < LEAVING_SHARE
    leaves_s = now_s + rng.uniform(*LEAVE_S)
    stays_open = rng.random() < LEFT_OPEN_SHARE
    deadline_s = now_s + deadline_ms / 1_000
    return WaitLimits(deadline_ms, deadline_s, leaves_s if leaves else None, stays_open)
