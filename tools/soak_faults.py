"""Faults of the soak: what is done to processes, links, the store and runners, from outside."""

import random
import signal
import threading
import time
from collections.abc import Callable, Iterable

import urllib3
from local_system import Process, find_port
from platform_system import ZONES, PlatformSystem
from proxy import MODES, ONE_WAY, PASS, SILENT, Proxy
from soak_callers import Callers

DRAIN_SHARE = 0.25  # of the faults that are followed by a change of drained zones
CALM_S = 3.0
STOP_FAULT_MODES = ("unanswered", "late")


class Proxies:
    """The proxies before the store and before the streams of entries."""

    def __init__(self) -> None:
        self.all: list[Proxy] = []
        self.streams: list[Proxy] = []

    def add(self, port: int) -> int:
        """Put a proxy before a port, for one process; return the proxy's port."""
        proxy = Proxy(find_port(), port)
        self.all.append(proxy)
        return proxy.port

    def add_stream(self, port: int) -> int:
        """Put a proxy before the streams of one entry; return the proxy's port."""
        proxy_port = self.add(port)
        self.streams.append(self.all[-1])
        return proxy_port


class Faults:
    """Draws faults from the seed's generators and undoes each after a while.

    Single faults, drains, herds and resets are drawn each by themselves, so that a seed plays the
    same faults of one kind whatever becomes of the others.
    """

    def __init__(
        self, seed: int, chooser: random.Random, system: PlatformSystem, proxies: Proxies
    ) -> None:
        self.seen: list[str] = []
        self.killed_ns: dict[int, int] = {}
        self.drain_random = random.Random(f"drains {seed}")
        self.random = chooser
        self._herd_random = random.Random(f"herds {seed}")
        self._reset_random = random.Random(f"resets {seed}")
        self._system = system
        self._proxies = proxies
        self._timers: list[threading.Timer] = []
        self._lock = threading.RLock()
        self._over = threading.Event()

    @property
    def _processes(self) -> list[Process]:
        return [*self._system.entries, *self._system.agents]

    def inject(self, seconds: float, callers: Callers) -> None:
        """Play faults for some time: single ones, with herds and resets beside them."""
        beside = [
            threading.Thread(target=inject, args=(seconds, callers))
            for inject in (self._inject_herds, self._inject_resets)
        ]
        for thread in beside:
            thread.start()
        try:
            self._inject_single(seconds)
        except BaseException:
            self.end()
            raise
        finally:
            for thread in beside:
                thread.join()

    def _inject_single(self, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        kinds: list[Callable[[], str]] = [
            self._kill,
            self._pause,
            self._ask_to_stop,
            self._harm_link,
            self._reset_link,
            self._harm_store,
            self._harm_runner,
        ]
        while time.monotonic() < end_s:
            self._note(self.random.choice(kinds)())
            if self.drain_random.random() < DRAIN_SHARE:
                self._note(self._drain_zones())
            time.sleep(self.random.uniform(0.2, 2.0))

    def _note(self, what: str) -> None:
        self.seen.append(f"{time.time_ns() // 1_000_000} {what}")

    # Single faults.

    def _pick(self) -> tuple[str, Process]:
        process = self.random.choice(self._processes)
        return process.name, process

    def _kill(self) -> str:
        process = self.random.choice([*self._processes, *self._system.runners])
        self._kill_all([process])
        self._later(self.random.uniform(0.1, 3.0), lambda: self._start(process))
        return f"kill {process.name}"

    def _kill_all(self, processes: Iterable[Process]) -> None:
        """Kill those that run, all at once, and note when what ran there was over."""
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
            self._later(self.random.uniform(0.3, 6.0), lambda: process.signal(signal.SIGCONT))
        return f"pause {name}"

    def _ask_to_stop(self) -> str:
        name, process = self._pick()
        if process.popen.poll() is None:
            process.signal(signal.SIGTERM)
            self._later(6.0, lambda: self._restart(process))
        return f"stop {name}"

    def _restart(self, process: Process) -> None:
        self._kill_all([process])
        self._start(process)

    def _start(self, process: Process) -> None:
        """Start a process that is down; two faults may both want to."""
        with self._lock:
            if process.popen.poll() is not None and not self._over.is_set():
                process.start()

    def _harm_link(self) -> str:
        proxy = self.random.choice(self._proxies.all)
        proxy.delay_s = self.random.uniform(0.05, 0.5)
        proxy.parity = self.random.choice((None, 0, 1))
        proxy.mode = self.random.choice(MODES)
        self._later(self.random.uniform(0.5, 6.0), lambda: setattr(proxy, "mode", PASS))
        return f"link {proxy.mode}"

    def _reset_link(self) -> str:
        self.random.choice(self._proxies.all).reset()
        return "link reset"

    def _harm_store(self) -> str:
        mode = self.random.choice(("outage", "silent", "lost", "late", "slow"))
        self._system.set_store_fault(mode=mode, delay_ms=self.random.randint(100, 2_000), count=20)
        self._later(self.random.uniform(0.3, 5.0), self._system.set_store_fault)
        return f"store {mode}"

    def _harm_runner(self) -> str:
        number = self.random.randrange(len(self._system.runners))
        if self._system.runners[number].popen.poll() is not None:
            return "runner away"
        mode = self.random.choice(("unanswered", "late", "hang", "errors", "answers_lost"))
        # Before and after the time at which a start that was left unanswered expires.
        delay_ms = self.random.choice((200, 500, 2_500))
        every = self.random.choice((1, 2, 4))
        return self._set_runner_fault(number, mode=mode, count=10, delay_ms=delay_ms, every=every)

    def _set_runner_fault(self, number: int, **fault: object) -> str:
        try:
            self._system.set_runner_fault(number, **fault)
        except urllib3.exceptions.HTTPError:
            return f"runner {number} was just starting"
        return f"runner {number} {fault['mode']} {fault.get('paths', '')}"

    def _drain_zones(self) -> str:
        """Drain some availability zones, perhaps all; those that were drained are restored."""
        zones = [zone for zone in ZONES if self.drain_random.random() < 0.3]
        try:
            self._system.drain_zones(zones)
        except urllib3.exceptions.HTTPError:
            return "the store did not take a drain"  # it is silent, or away
        return f"drain {' '.join(zones) or 'nothing'}"

    # Herds: faults in series, and several at once.

    def _inject_herds(self, seconds: float, callers: Callers) -> None:
        end_s = time.monotonic() + seconds
        kinds: list[Callable[[Callers], str]] = [
            self._kill_series,
            self._kill_herd,
            self._freeze_entries,
            self._freeze_agents,
            self._cut_streams,
            self._harm_stops,
        ]
        while time.monotonic() < end_s and not self._over.is_set():
            self._note(self._herd_random.choice(kinds)(callers))
            time.sleep(self._herd_random.uniform(0.3, 2.0))

    def _draw(self, processes: list[Process], least: int = 1) -> list[Process]:
        """Draw some of these, perhaps all."""
        return self._herd_random.sample(processes, self._herd_random.randint(least, len(processes)))

    def _kill_series(self, _callers: Callers) -> str:
        """Kill several processes one after another, within 0.5 to 3 s."""
        processes = [*self._processes, *self._system.runners]
        victims = self._herd_random.sample(processes, self._herd_random.randint(2, 4))
        step_s = self._herd_random.uniform(0.5, 3.0) / len(victims)
        for process in victims:
            self._kill_all([process])
            self._start_later(process)
            time.sleep(step_s)
        return f"kill in series {_names(victims)}"

    def _kill_herd(self, _callers: Callers) -> str:
        """Kill entries and agents together, as when a machine or a zone goes away.

        A runner may fail what it starts just before, so that its ends are told to other lives.
        """
        failing = ""
        if self._herd_random.random() < 0.5:
            number = self._herd_random.randrange(len(self._system.runners))
            failing = self._set_runner_fault(number, mode="errors", count=10) + ", "
            time.sleep(self._herd_random.uniform(0.0, 0.5))
        victims = [*self._draw(self._system.entries), *self._draw(self._system.agents)]
        if self._herd_random.random() < 0.4:
            victims = self._processes
        self._kill_all(victims)
        for process in victims:
            self._start_later(process)
        return f"{failing}kill together {_names(victims)}"

    def _start_later(self, process: Process) -> None:
        self._later(self._herd_random.uniform(0.1, 1.5), lambda: self._start(process))

    def _freeze(self, victims: list[Process]) -> None:
        for process in victims:
            if process.popen.poll() is None:
                process.signal(signal.SIGSTOP)
            wake_s = self._herd_random.uniform(1.0, 3.0)
            self._later(wake_s, lambda process=process: process.signal(signal.SIGCONT))

    def _freeze_entries(self, callers: Callers) -> str:
        """Let entries stand still while callers leave, just before, during or just after."""
        victims = self._draw(self._system.entries)
        self._freeze(victims)
        self._hesitate(1.0)
        left = callers.leave(self._numbers(victims), self._herd_random)
        return f"freeze {_names(victims)}, {left} callers left"

    def _freeze_agents(self, callers: Callers) -> str:
        victims = self._draw(self._system.agents)
        self._freeze(victims)
        left = callers.leave(self._numbers(self._system.entries), self._herd_random)
        return f"freeze {_names(victims)}, {left} callers left"

    def _cut_streams(self, callers: Callers) -> str:
        """Silence streams of agents, and kill a process or let callers leave meanwhile."""
        proxies = self._herd_random.sample(
            self._proxies.streams, self._herd_random.randint(1, len(self._proxies.streams))
        )
        for proxy in proxies:
            proxy.parity = self._herd_random.choice((None, 0, 1))
            proxy.mode = self._herd_random.choice((SILENT, ONE_WAY))
            ends_s = self._herd_random.uniform(1.0, 2.0)
            self._later(ends_s, lambda proxy=proxy: setattr(proxy, "mode", PASS))
        self._hesitate(0.5)
        if self._herd_random.random() < 0.5:
            left = callers.leave(self._numbers(self._system.entries), self._herd_random)
            return f"{len(proxies)} streams cut, {left} callers left"
        victim = self._herd_random.choice([*self._processes, *self._system.runners])
        self._kill_all([victim])
        self._start_later(victim)
        return f"{len(proxies)} streams cut, kill {victim.name}"

    def _harm_stops(self, callers: Callers) -> str:
        """Leave stops unanswered, or carry them out late, while callers leave."""
        number = self._herd_random.randrange(len(self._system.runners))
        mode = self._herd_random.choice(STOP_FAULT_MODES)
        delay_ms = self._herd_random.randint(100, 2_500)
        what = "runner away"
        if self._system.runners[number].popen.poll() is None:
            what = self._set_runner_fault(
                number, mode=mode, count=10, delay_ms=delay_ms, paths=["/run-stop"]
            )
        left = callers.leave(self._numbers(self._system.entries), self._herd_random)
        return f"{what}, {left} callers left"

    def _hesitate(self, most_s: float) -> None:
        """Let two faults follow each other at once, which leaves least time, or after a while."""
        if self._herd_random.random() < 0.5:
            time.sleep(self._herd_random.uniform(0.0, most_s))

    def _numbers(self, entries: list[Process]) -> set[int]:
        return {self._system.entries.index(entry) for entry in entries}

    # Streams that fail again and again.

    def _inject_resets(self, seconds: float, callers: Callers) -> None:
        """Reset the streams of an entry in series while its callers leave, and come back.

        What an agent tells once more on each new stream may be of an earlier submission by then.
        """
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s and not self._over.is_set():
            number = self._reset_random.randrange(len(self._proxies.streams))
            left = callers.leave({number}, self._reset_random)
            times = self._reset_random.randint(3, 8)
            self._note(f"streams of entry-{number} reset {times} times, {left} callers left")
            for _ in range(times):
                time.sleep(self._reset_random.uniform(0.2, 0.7))
                self._proxies.streams[number].reset()
            time.sleep(self._reset_random.uniform(0.5, 2.0))

    # The end of faults.

    def _later(self, delay_s: float, work: Callable[[], object]) -> None:
        timer = threading.Timer(delay_s, self._undo, (work,))
        timer.daemon = True
        self._timers.append(timer)
        timer.start()

    def _undo(self, work: Callable[[], object]) -> None:
        try:
            work()
        except urllib3.exceptions.HTTPError as error:
            self._note(f"not undone: {error!r}")  # ``recover`` mends it

    def recover(self) -> None:
        """End all faults, and wait until each process serves again."""
        time.sleep(CALM_S * 2)
        for timer in self._timers:
            timer.cancel()
        for proxy in self._proxies.all:
            proxy.mode = PASS
        self._system.set_store_fault()
        for process in [*self._processes, *self._system.runners]:
            self._start(process)
            process.signal(signal.SIGCONT)
        self._system.drain_zones(())
        time.sleep(CALM_S)

    def end(self) -> None:
        """Start nothing any more."""
        with self._lock:
            self._over.set()
        for timer in self._timers:
            timer.cancel()


def _names(processes: Iterable[Process]) -> str:
    return " ".join(process.name for process in processes)
