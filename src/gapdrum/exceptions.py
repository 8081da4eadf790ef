"""All errors of gapdrum: one root class, a stable code and an HTTP status each."""

import attrs


@attrs.frozen
class Finding:
    """One thing that is wrong with an input, and the place it was found at.

    The place is a path into the input such as ``$.tasks[3].payload`` or, for a
    settings file, ``entry.json:12 $.listen.port``.
    """

    place: str
    message: str


class GapdrumError(Exception):
    """The root of all errors; ``code`` is stable and safe to match on.

    ``retry_after_ms`` tells a client when another try makes sense; ``None``
    means that another try of the same request can't help.
    """

    code = "internal_error"
    http_status = 500

    def __init__(
        self, message: str, *, retry_after_ms: int | None = None, findings: tuple[Finding, ...] = ()
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_ms = retry_after_ms
        self.findings = findings


class InvalidInputError(GapdrumError):
    """The input is malformed; the findings name every place that is wrong."""

    code = "invalid_input"
    http_status = 400


class UnauthorizedError(GapdrumError):
    """The request carries no valid credential."""

    code = "unauthorized"
    http_status = 401


class ForbiddenError(GapdrumError):
    """The credential is valid but does not cover this team or node."""

    code = "forbidden"
    http_status = 403


class NotFoundError(GapdrumError):
    """No such job, node, runner or path is known."""

    code = "not_found"
    http_status = 404


class KeyConflictError(GapdrumError):
    """The idempotency key was used before with another body."""

    code = "key_conflict"
    http_status = 409


class VersionConflictError(GapdrumError):
    """A compare-and-set on the configuration lost against another operator."""

    code = "version_conflict"
    http_status = 409


class RefusedError(GapdrumError):
    """A submission was refused; ``code`` names the reason.

    ``not_run`` is true only where it is proven that no task of the submission
    has started and none will for this request; otherwise the state is unknown.
    """

    http_status = 503

    def __init__(
        self,
        code: str,
        message: str,
        *,
        not_run: bool,
        http_status: int = 503,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(message, retry_after_ms=retry_after_ms)
        self.code = code
        self.not_run = not_run
        self.http_status = http_status


class StoreError(GapdrumError):
    """The platform's store could not be asked."""

    code = "store_unavailable"
    http_status = 503


class StoreOutcomeUnknownError(StoreError):
    """A write may or may not have taken effect: its answer was lost."""

    code = "store_outcome_unknown"


class StoreBusyError(StoreError):
    """The write budget is spent; nothing was sent."""

    code = "store_budget_spent"


class FrameError(GapdrumError):
    """An internal stream carried an oversized, truncated or unknown frame."""

    code = "bad_frame"
    http_status = 400


class StreamClosedError(GapdrumError):
    """An internal stream ended, or its peer reads too slowly."""

    code = "stream_closed"


class ChartError(GapdrumError):
    """A state chart is malformed or has no transition for an event."""

    code = "bad_transition"


class StoreRejectedError(StoreError):
    """The store did nothing: it was not reached, or said that it is busy or away."""

    code = "store_rejected"


class RecordError(StoreError):
    """A row that should hold a record of ours can't be read."""

    code = "record_unreadable"


class StoreHistoryGoneError(StoreError):
    """The store no longer has the changes that were asked for; read the rows anew."""

    code = "store_history_gone"


class UnsupportedJobError(GapdrumError):
    """The job asks for something that is not built; nothing of it was accepted."""

    code = "unsupported_job"
    http_status = 501
