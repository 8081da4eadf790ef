"""Fault injection of the soak: faults of processes, links, the store and runners."""

import random
import signal
import threading
import time
from collections.abc import Callable, Iterable

import msgpack
import urllib3
from client_crowd import Crowd
from local_system import HOST, Process, find_port
from platform_system import QUEUES, UPSTREAM, ZONES, PlatformSystem
from proxy import MODES, ONE_WAY, PASS, REJECTIONS, SILENT, Proxy
from soak_callers import Burst, Callers
from soak_outages import CUT_OFF_S, Outages, run_outages

DRAIN_SHARE = 0.25  # of the single faults: followed by a change of the drained zones
CALM_S = 3.0
STOP_FAULT_MODES = ("unanswered", "late")
# The store rejects a share of the processes, mostly for longer than an entry lease lasts.
REJECTED_SHARE = 0.33
REJECTED_S = (4.0, 10.0)
# Agents and entries are lost for longer than entries wait for them, an entry lease included.
LOST_S = (2.5, 6.5)
# Jobs are open, and fail or are cancelled, while tasks of them are done again.
OPEN_BURST = Burst(5, (400, 800, 1_200), (0.0, 0.0, 0.3, 0.6), 0.6, (2.5, 6.0))
AWAY_UPSTREAM = "away-desk"  # it has no runners
# Forms of clients that exceed limits, for any HTTP address.
CROWD_FORMS = (
    "many small header fields",
    "a header field without end",
    "empty lines without end",
    "a body that stops short",
    "large chunks that stop short",
    "small chunks that stop short",
    "many small trailer fields",
    "requests ahead, answers unread",
    "requests ahead for metrics, answers unread",
    "nothing",
    "half a request line",
)
STREAM_FORMS = ("a frame that stops short", "a frame of many small arrays", "nothing")
CROWD_CLIENTS = (5, 60)
CROWD_SEND_S = 2.0
OPEN_CROWDS = 8  # older ones are closed
# Writes whose single answers the store loses, by their table.
LOST_TABLES = ("open", "progress", "ended", "leases")


class Proxies:
    """The proxies in front of the store and of the streams of entries."""

    def __init__(self) -> None:
        self.all: list[Proxy] = []
        self.stores: list[Proxy] = []  # of the entries first, as the system adds them first
        self.streams: list[Proxy] = []

    def add(self, port: int) -> int:
        """Start a proxy to a port, for one process; return the proxy's port."""
        proxy = Proxy(find_port(), port)
        self.all.append(proxy)
        return proxy.port

    def add_store(self, port: int) -> int:
        """Start a proxy to the store for one process; return the proxy's port."""
        proxy_port = self.add(port)
        self.stores.append(self.all[-1])
        return proxy_port

    def add_stream(self, port: int) -> int:
        """Start a proxy to the streams of one entry; return the proxy's port."""
        proxy_port = self.add(port)
        self.streams.append(self.all[-1])
        return proxy_port


class Faults:
    """Injects random faults and undoes each after a while.

    Single faults, drains, combined faults, resets, outages and rejections have a generator each, so
    that a seed injects the same faults of one kind whatever happens to the others.
    """

    def __init__(
        self, seed: int, rng: random.Random, system: PlatformSystem, proxies: Proxies
    ) -> None:
        self.injected: list[str] = []
        self.killed_ns: dict[int, int] = {}
        self.drain_random = random.Random(f"drains {seed}")
        self.random = rng
        self._combined_random = random.Random(f"herds {seed}")
        self._reset_random = random.Random(f"resets {seed}")
        self._rejection_random = random.Random(f"rejections {seed}")
        self._change_random = random.Random(f"changes {seed}")
        self._crowd_random = random.Random(f"clients {seed}")
        self._crowds: list[Crowd] = []
        self._version = 1
        self._outages = Outages(
            seed, proxies.streams, proxies.stores, lambda one: self._kill_all([one]), self._start
        )
        self._system = system
        self._proxies = proxies
        self._timers: list[threading.Timer] = []
        self._lock = threading.RLock()
        self._ended = threading.Event()

    @property
    def _processes(self) -> list[Process]:
        return [*self._system.entries, *self._system.agents]

    def inject(self, seconds: float, callers: Callers, only: str = "") -> None:
        """Inject faults for some time: single ones, and all others in parallel.

        ``only`` names one kind of fault to inject alone, as the others hide most of what it brings
        about: they make tasks start again themselves.
        """
        if only == "clients":
            crowds = threading.Thread(target=self._inject_clients, args=(seconds,))
            crowds.start()
            self._inject_together(seconds, callers, (self._inject_combined,))
            crowds.join()
            return
        if only:
            kinds = {
                "outages": self._inject_outages,
                "rejections": self._inject_rejections,
                "changes": self._inject_changes,
            }
            kinds[only](seconds, callers)
            return
        kinds = (self._inject_combined, self._inject_resets, self._inject_outages)
        self._inject_together(seconds, callers, kinds)

    def _inject_together(
        self,
        seconds: float,
        callers: Callers,
        kinds: Iterable[Callable[[float, Callers], None]],
    ) -> None:
        """Inject single faults, and other kinds beside them."""
        threads = [threading.Thread(target=inject, args=(seconds, callers)) for inject in kinds]
        for thread in threads:
            thread.start()
        try:
            self._inject_single(seconds)
        except BaseException:
            self.end()
            raise
        finally:
            for thread in threads:
                thread.join()

    def _inject_single(self, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        kinds: list[Callable[[], str]] = [
            self._kill,
            self._pause,
            self._terminate,
            self._degrade_link,
            self._reset_link,
            self._degrade_store,
            self._degrade_runner,
        ]
        while time.monotonic() < end_s:
            self._record(self.random.choice(kinds)())
            if self.drain_random.random() < DRAIN_SHARE:
                self._record(self._drain_zones())
            time.sleep(self.random.uniform(0.2, 2.0))

    def _record(self, what: str) -> None:
        self.injected.append(f"{time.time_ns() // 1_000_000} {what}")

    # Single faults

    def _pick(self) -> tuple[str, Process]:
        process = self.random.choice(self._processes)
        return process.name, process

    def _kill(self) -> str:
        process = self.random.choice([*self._processes, *self._system.runners])
        self._kill_all([process])
        self._schedule(self.random.uniform(0.1, 3.0), lambda: self._start(process))
        return f"kill {process.name}"

    def _kill_all(self, processes: Iterable[Process]) -> None:
        """Kill the processes that run, all at once, and record when each ended."""
        with self._lock:
            alive = [process for process in processes if process.popen.poll() is None]
            for process in alive:
                process.popen.kill()
            for process in alive:
                process.kill()
                self.killed_ns[process.popen.pid] = time.monotonic_ns()

    def _pause(self) -> str:
        name, process = self._pick()
        if process.popen.poll() is None:
            process.signal(signal.SIGSTOP)
            self._schedule(self.random.uniform(0.3, 6.0), lambda: process.signal(signal.SIGCONT))
        return f"pause {name}"

    def _terminate(self) -> str:
        name, process = self._pick()
        if process.popen.poll() is None:
            process.signal(signal.SIGTERM)
            self._schedule(6.0, lambda: self._restart(process))
        return f"stop {name}"

    def _restart(self, process: Process) -> None:
        self._kill_all([process])
        self._start(process)

    def _start(self, process: Process) -> None:
        """Start a process unless it runs already, as two faults may have planned its start."""
        with self._lock:
            if process.popen.poll() is not None and not self._ended.is_set():
                process.start()

    def _degrade_link(self) -> str:
        proxy = self.random.choice(self._proxies.all)
        proxy.delay_s = self.random.uniform(0.05, 0.5)
        proxy.parity = self.random.choice((None, 0, 1))
        proxy.mode = self.random.choice(MODES)
        self._schedule(self.random.uniform(0.5, 6.0), lambda: setattr(proxy, "mode", PASS))
        return f"link {proxy.mode}"

    def _reset_link(self) -> str:
        self.random.choice(self._proxies.all).reset()
        return "link reset"

    def _degrade_store(self) -> str:
        mode = self.random.choice(("outage", "silent", "lost", "late", "slow"))
        self._system.set_store_fault(mode=mode, delay_ms=self.random.randint(100, 2_000), count=20)
        self._schedule(self.random.uniform(0.3, 5.0), self._system.set_store_fault)
        return f"store {mode}"

    def _degrade_runner(self) -> str:
        number = self.random.randrange(len(self._system.runners))
        if self._system.runners[number].popen.poll() is not None:
            return "runner away"
        mode = self.random.choice(("unanswered", "late", "hang", "errors", "answers_lost"))
        # Both below and above the time after which an unanswered start expires.
        delay_ms = self.random.choice((200, 500, 2_500))
        every = self.random.choice((1, 2, 4))
        return self._set_runner_fault(number, mode=mode, count=10, delay_ms=delay_ms, every=every)

    def _set_runner_fault(self, number: int, **fault: object) -> str:
        try:
            self._system.set_runner_fault(number, **fault)
        except urllib3.exceptions.HTTPError:
            return f"runner {number} did not accept a fault"
        return f"runner {number} {fault['mode']} {fault.get('paths', '')}"

    def _drain_zones(self) -> str:
        """Drain a random set of availability zones, possibly all, and restore the others."""
        zones = [zone for zone in ZONES if self.drain_random.random() < 0.3]
        try:
            self._system.drain_zones(zones)
        except urllib3.exceptions.HTTPError:
            return "the store did not accept a drain"  # the store is silent or unavailable
        return f"drain {' '.join(zones) or 'nothing'}"

    # Clients that exceed limits

    def _inject_clients(self, seconds: float) -> None:
        """Let crowds connect anywhere; they stay until their process is gone, or the soak ends."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s and not self._ended.is_set():
            port, form = self._draw_crowd()
            clients = self._crowd_random.randint(*CROWD_CLIENTS)
            self._record(f"{clients} clients send {form} to port {port}")
            crowd = Crowd((HOST, port), form, clients)
            self._crowds.append(crowd)
            crowd.send(CROWD_SEND_S)
            if len(self._crowds) > OPEN_CROWDS:
                self._crowds.pop(0).close()
            time.sleep(self._crowd_random.uniform(0.2, 1.0))

    def _draw_crowd(self) -> tuple[int, str]:
        system, rng = self._system, self._crowd_random
        if rng.random() < 0.1:
            return rng.choice(system.streams_ports), rng.choice(STREAM_FORMS)
        ports = [process.port for process in self._processes]
        ports += [*system.ready_ports, *system.metrics_ports.values()]
        return rng.choice(ports), rng.choice(CROWD_FORMS)

    def close_crowds(self) -> None:
        """Close the connections of all crowds."""
        for crowd in self._crowds:
            crowd.close()

    # Combined faults: in series, or at several processes at once

    def _inject_combined(self, seconds: float, callers: Callers) -> None:
        end_s = time.monotonic() + seconds
        kinds: list[Callable[[Callers], str]] = [
            self._kill_series,
            self._kill_together,
            self._freeze_entries,
            self._freeze_agents,
            self._cut_streams,
            self._degrade_stops,
        ]
        while time.monotonic() < end_s and not self._ended.is_set():
            self._record(self._combined_random.choice(kinds)(callers))
            time.sleep(self._combined_random.uniform(0.3, 2.0))

    def _draw(self, processes: list[Process], min_count: int = 1) -> list[Process]:
        """Draw a random subset, possibly all."""
        return self._combined_random.sample(
            processes, self._combined_random.randint(min_count, len(processes))
        )

    def _kill_series(self, _callers: Callers) -> str:
        """Kill several processes one after another, within 0.5 to 3 s."""
        processes = [*self._processes, *self._system.runners]
        victims = self._combined_random.sample(processes, self._combined_random.randint(2, 4))
        step_s = self._combined_random.uniform(0.5, 3.0) / len(victims)
        for process in victims:
            self._kill_all([process])
            self._start_later(process)
            time.sleep(step_s)
        return f"kill in series {_names(victims)}"

    def _kill_together(self, _callers: Callers) -> str:
        """Kill entries and agents together, as when a machine or a zone fails.

        A runner may fail its runs just before, so that later incarnations receive their ends.
        """
        failing = ""
        if self._combined_random.random() < 0.5:
            number = self._combined_random.randrange(len(self._system.runners))
            failing = self._set_runner_fault(number, mode="errors", count=10) + ", "
            time.sleep(self._combined_random.uniform(0.0, 0.5))
        victims = [*self._draw(self._system.entries), *self._draw(self._system.agents)]
        if self._combined_random.random() < 0.4:
            victims = self._processes
        self._kill_all(victims)
        for process in victims:
            self._start_later(process)
        return f"{failing}kill together {_names(victims)}"

    def _start_later(self, process: Process) -> None:
        self._schedule(self._combined_random.uniform(0.1, 1.5), lambda: self._start(process))

    def _freeze(self, victims: list[Process]) -> None:
        for process in victims:
            if process.popen.poll() is None:
                process.signal(signal.SIGSTOP)
            wake_s = self._combined_random.uniform(1.0, 3.0)
            self._schedule(wake_s, lambda process=process: process.signal(signal.SIGCONT))

    def _freeze_entries(self, callers: Callers) -> str:
        """Pause entries, and let callers leave at about the same time."""
        victims = self._draw(self._system.entries)
        self._freeze(victims)
        self._wait_randomly(1.0)
        left = callers.leave(self._numbers(victims), self._combined_random)
        return f"freeze {_names(victims)}, {left} callers left"

    def _freeze_agents(self, callers: Callers) -> str:
        victims = self._draw(self._system.agents)
        self._freeze(victims)
        left = callers.leave(self._numbers(self._system.entries), self._combined_random)
        return f"freeze {_names(victims)}, {left} callers left"

    def _cut_streams(self, callers: Callers) -> str:
        """Silence streams of agents, and meanwhile kill a process or let callers leave."""
        proxies = self._combined_random.sample(
            self._proxies.streams, self._combined_random.randint(1, len(self._proxies.streams))
        )
        for proxy in proxies:
            proxy.parity = self._combined_random.choice((None, 0, 1))
            proxy.mode = self._combined_random.choice((SILENT, ONE_WAY))
            ends_s = self._combined_random.uniform(1.0, 2.0)
            self._schedule(ends_s, lambda proxy=proxy: setattr(proxy, "mode", PASS))
        self._wait_randomly(0.5)
        if self._combined_random.random() < 0.5:
            left = callers.leave(self._numbers(self._system.entries), self._combined_random)
            return f"{len(proxies)} streams cut, {left} callers left"
        victim = self._combined_random.choice([*self._processes, *self._system.runners])
        self._kill_all([victim])
        self._start_later(victim)
        return f"{len(proxies)} streams cut, kill {victim.name}"

    def _degrade_stops(self, callers: Callers) -> str:
        """Let a runner leave stops unanswered or execute them late, while callers leave."""
        number = self._combined_random.randrange(len(self._system.runners))
        mode = self._combined_random.choice(STOP_FAULT_MODES)
        delay_ms = self._combined_random.randint(100, 2_500)
        what = "runner away"
        if self._system.runners[number].popen.poll() is None:
            what = self._set_runner_fault(
                number, mode=mode, count=10, delay_ms=delay_ms, paths=["/run-stop"]
            )
        left = callers.leave(self._numbers(self._system.entries), self._combined_random)
        return f"{what}, {left} callers left"

    def _wait_randomly(self, max_s: float) -> None:
        """Wait for a random time, or not at all, so that the second fault follows immediately."""
        if self._combined_random.random() < 0.5:
            time.sleep(self._combined_random.uniform(0.0, max_s))

    def _numbers(self, entries: list[Process]) -> set[int]:
        return {self._system.entries.index(entry) for entry in entries}

    # Streams that are reset repeatedly

    def _inject_resets(self, seconds: float, callers: Callers) -> None:
        """Reset the streams of an entry repeatedly while its callers leave and resubmit.

        An agent repeats its report on each new stream, possibly of an earlier submission by then.
        """
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s and not self._ended.is_set():
            number = self._reset_random.randrange(len(self._proxies.streams))
            left = callers.leave({number}, self._reset_random)
            times = self._reset_random.randint(3, 8)
            self._record(f"streams of entry-{number} reset {times} times, {left} callers left")
            for _ in range(times):
                time.sleep(self._reset_random.uniform(0.2, 0.7))
                self._proxies.streams[number].reset()
            time.sleep(self._reset_random.uniform(0.5, 2.0))

    def _inject_outages(self, seconds: float, _callers: Callers) -> None:
        """Inject outages of streams in series, with what fails beside them."""
        system = self._system
        run_outages(
            self._outages,
            seconds,
            self._ended,
            self._record,
            lambda: (system.runners, system.agents),
        )

    # A store that rejects some processes, or loses single answers

    def _inject_rejections(self, seconds: float, callers: Callers) -> None:
        """Let the store reject a share of the entries, and agents too, again and again.

        Each time the entries have just accepted jobs, which end meanwhile.
        """
        rng = self._rejection_random
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s and not self._ended.is_set():
            entries = len(self._system.entries)
            count = max(1, round(entries * rng.uniform(0.0, REJECTED_SHARE)))
            rejected = rng.sample(range(entries), count)
            victims = [self._proxies.stores[number] for number in rejected]
            if rng.random() < 0.5:
                agents = self._proxies.stores[entries:]
                victims += rng.sample(agents, round(len(agents) * REJECTED_SHARE))
            mode = rng.choice((*REJECTIONS, SILENT))
            callers.submit_burst(rejected, rng)
            for proxy in victims:
                proxy.mode = mode
            table = rng.choice(LOST_TABLES)
            self._system.set_store_fault(mode="lost", count=rng.randint(1, 3), table=table)
            self._record(f"store rejects {len(victims)} by {mode}, loses answers of {table}")
            time.sleep(rng.uniform(*REJECTED_S))
            for proxy in victims:
                proxy.mode = PASS
            time.sleep(rng.uniform(0.2, 3.0))
        self._system.set_store_fault()

    # Configurations that change while owners and agents are lost

    def _inject_changes(self, seconds: float, callers: Callers) -> None:
        """Change the routes for a while, again and again, while jobs fail or are cancelled.

        Meanwhile agents are cut off from all entries, and owners are lost after the last change.
        """
        rng = self._change_random
        entries = self._system.entries
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s and not self._ended.is_set():
            owners = rng.sample(range(len(entries)), rng.randint(1, len(entries) - 1))
            callers.submit_burst(owners, rng, OPEN_BURST)
            change = self._change_routes(rng)
            callers.submit_burst(owners, rng, OPEN_BURST)
            victim = self._cut_agent_off(rng)
            time.sleep(rng.uniform(0.5, 3.0))
            self._change_back()
            time.sleep(rng.uniform(0.0, 2.0))
            fate = rng.choice((self._kill_owner, self._reject_owner))
            self._record(f"routes {change}, {victim} cut off, {fate(rng, rng.choice(owners))}")
            time.sleep(rng.uniform(*LOST_S))

    def _change_routes(self, rng: random.Random) -> str:
        """Write a configuration with other routes for the same paths, or without some."""
        change = rng.choice(("renamed", "removed", "swapped", "sent away", "unchanged"))
        queues, upstream = QUEUES, UPSTREAM
        if change == "renamed":
            queues = tuple((f"{name}-2", *rest) for name, *rest in QUEUES)
        elif change == "removed":
            queues = QUEUES[1:]
        elif change == "swapped":
            names = [name for name, *_ in QUEUES]
            queues = tuple((names[n - 1], *rest) for n, (_, *rest) in enumerate(QUEUES))
        elif change == "sent away":
            upstream = AWAY_UPSTREAM
        if change != "unchanged":
            self._version += 1
            self._system.put_configuration(self._version, queues, upstream)
        return change

    def _change_back(self) -> None:
        self._version += 1
        self._system.put_configuration(self._version)

    def _cut_agent_off(self, rng: random.Random) -> str:
        """Silence all streams of an agent for a while."""
        agent = rng.choice(self._system.agents)
        for proxy in self._proxies.streams:
            proxy.only, proxy.mode = msgpack.packb(agent.name), SILENT
        self._schedule(rng.uniform(*LOST_S), self._connect_agents)
        return agent.name

    def _connect_agents(self) -> None:
        for proxy in self._proxies.streams:
            proxy.mode = PASS

    def _kill_owner(self, rng: random.Random, number: int) -> str:
        process = self._system.entries[number]
        self._kill_all([process])
        self._schedule(rng.uniform(*LOST_S), lambda: self._start(process))
        return f"kill {process.name}"

    def _reject_owner(self, rng: random.Random, number: int) -> str:
        """Let the store leave an entry unanswered until its lease has ended."""
        proxy = self._proxies.stores[number]
        proxy.mode = SILENT
        self._schedule(rng.uniform(*CUT_OFF_S), lambda: setattr(proxy, "mode", PASS))
        return f"reject {self._system.entries[number].name}"

    # Recovery

    def _schedule(self, delay_s: float, work: Callable[[], object]) -> None:
        timer = threading.Timer(delay_s, self._undo, (work,))
        timer.daemon = True
        self._timers.append(timer)
        timer.start()

    def _undo(self, work: Callable[[], object]) -> None:
        try:
            work()
        except urllib3.exceptions.HTTPError as error:
            self._record(f"not undone: {error!r}")  # ``recover`` undoes it

    def recover(self) -> None:
        """Undo all faults, and wait for the processes to recover."""
        time.sleep(CALM_S * 2)
        for timer in self._timers:
            timer.cancel()
        for proxy in self._proxies.all:
            proxy.mode, proxy.only = PASS, b""
        self._system.set_store_fault()
        for process in [*self._processes, *self._system.runners]:
            self._start(process)
            process.signal(signal.SIGCONT)
        self._system.drain_zones(())
        time.sleep(CALM_S)

    def end(self) -> None:
        """Cancel all planned work and start no process from now on."""
        with self._lock:
            self._ended.set()
        for timer in self._timers:
            timer.cancel()


def _names(processes: Iterable[Process]) -> str:
    return " ".join(process.name for process in processes)
