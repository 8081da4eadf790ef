"""Jobs, tasks and runs on the platform, and the resources that they take."""

import enum

import attrs


class JobState(enum.Enum):
    """The state of a job as callers see it."""

    PENDING = "pending"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RunEnd(enum.Enum):
    """How a run ended, as runners report it. Only ``FAILED`` is a failed attempt of the task.

    Gangs are groups of tasks that run together; jobs with gangs are refused at submission, so
    no run that an entry orders ends as one of a gang.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


# The ends that count for a task; it is started anew after any other.
COUNTED_ENDS = (RunEnd.DONE, RunEnd.FAILED)


@attrs.frozen
class Resources:
    """Processor in thousandths of a core, memory in MB, accelerators."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def overlap(self, other: "Resources") -> "Resources":
        """Return the smaller amount of each resource."""
        return Resources(
            min(self.cpu_milli, other.cpu_milli),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def holds(self, other: "Resources") -> bool:
        """Tell whether the other resources fit into these."""
        return (
            other.cpu_milli <= self.cpu_milli
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )


ZERO_RESOURCES = Resources()


@attrs.frozen
class Step:
    """A group of equal tasks of a job that begins when the steps in ``after`` are done.

    ``estimate_ms`` is the stated run time of one task, and ``runner_limit`` how many of the tasks
    may be at one runner at once, 0 for any number.
    """

    tasks: int
    resources: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    runner_limit: int = 0


@attrs.frozen
class TaskName:
    """The name of a task: ``JOB.OCCURRENCE.STEP.INDEX``.

    The occurrence is of a repeated job on the platform; it is 0 for all jobs here.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def text(self) -> str:
        """Return the name as runners know it."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskName":
        """Parse a name; raises ValueError if it is malformed."""
        job_id, occurrence, step, index = text.split(".")
        return cls(job_id, int(occurrence), int(step), int(index))


@attrs.frozen
class RunKey:
    """The key of one run: a task and the number of the attempt."""

    task: TaskName
    attempt: int
