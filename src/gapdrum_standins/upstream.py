"""Stand-in for a runner: announces itself to its agent, sleeps for each task, counts starts.

A task's payload is JSON text with ``run_ms`` and optionally ``fail`` (answer
500).  ``GET /starts`` returns how often each task started, which is what
tests rely on.  ``POST /behaviour`` makes the runner fail all tasks or
run slower by a factor.
"""

import json
import threading
import time
from collections import Counter

import attrs
import typer
import urllib3
from cheroot import wsgi
from loguru import logger
from urllib3.exceptions import HTTPError

from gapdrum.logs import set_up_logs

ANNOUNCE_INTERVAL_S = 0.5
SPARE_THREADS = 4
MS_PER_S = 1000


@attrs.define
class Behaviour:
    """How the runner executes tasks; ``slow_percent`` scales their duration."""

    fail_all: bool = False
    slow_percent: int = 100


class Upstream:
    """The WSGI application of one runner."""

    def __init__(self, slots: int) -> None:
        self.behaviour = Behaviour()
        self.starts: Counter[str] = Counter()
        self.started_at_ms: dict[str, int] = {}
        self.running = 0
        self.most_running = 0
        self.lock = threading.Lock()
        self.slots = slots

    def __call__(self, environ: dict, start_response) -> list[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        if path == "/run":
            job_id, index = environ["HTTP_GAPDRUM_JOB"], environ["HTTP_GAPDRUM_TASK"]
            status, document = self._run(f"{job_id}/{index}", json.loads(body))
        elif path == "/behaviour":
            self.behaviour = Behaviour(**json.loads(body))
            status, document = "200 OK", {}
        else:
            status, document = "200 OK", self._describe()
        content = json.dumps(document).encode()
        start_response(status, [("Content-Length", str(len(content)))])
        return [content]

    def _run(self, task: str, payload: dict) -> tuple[str, dict]:
        with self.lock:
            self.starts[task] += 1
            self.started_at_ms[task] = time.time_ns() // 1_000_000
            self.running += 1
            self.most_running = max(self.most_running, self.running)
        if self.behaviour.fail_all:
            outcome = "500 Internal Server Error", {"error": "this runner fails everything"}
        else:
            run_ms = payload.get("run_ms", 50) * self.behaviour.slow_percent / 100
            time.sleep(run_ms / MS_PER_S)
            failed = payload.get("fail", False)
            outcome = ("500 Failed", {"error": "x"}) if failed else ("200 OK", {"task": task})
        with self.lock:
            self.running -= 1
        return outcome

    def _describe(self) -> dict:
        with self.lock:
            return {
                "starts": dict(self.starts),
                "started_at_ms": dict(self.started_at_ms),
                "most_running": self.most_running,
            }


def announce_forever(agent_url: str, token: str, announcement: dict) -> None:
    """Announce the runner to its agent at a fixed interval, until the process ends."""
    pool = urllib3.PoolManager(retries=False, timeout=1)
    headers = {"Authorization": f"Bearer {token}"}
    body = json.dumps(announcement).encode()
    while True:
        try:
            pool.request("POST", f"{agent_url}/v1/announce", body=body, headers=headers)
        except HTTPError:
            logger.debug("announcement failed: the agent does not answer")
        time.sleep(ANNOUNCE_INTERVAL_S)


def main() -> None:
    """Run the command ``gapdrum-upstream``."""
    typer.run(start)


def start(
    port: int,
    agent_url: str,
    upstream: str,
    token: str,
    host: str = "127.0.0.1",
    slots: int = 8,
    connections: int = 64,
    accelerators: int = 0,
) -> None:
    """Serve the stand-in runner until it is stopped."""
    set_up_logs(False)
    threads = slots + SPARE_THREADS
    server = wsgi.Server(
        (host, port), Upstream(slots), numthreads=threads, request_queue_size=connections
    )
    announcement = {
        "upstream": upstream,
        "slots": slots,
        "connections": connections,
        "accelerators": accelerators,
        "address": {"host": host, "port": port},
    }
    arguments = (agent_url, token, announcement)
    threading.Thread(target=announce_forever, args=arguments, daemon=True).start()
    try:
        server.start()
    finally:
        server.stop()
