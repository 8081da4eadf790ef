"""Client of the platform's list of the machines that host runners."""

from typing import Any
from urllib.parse import quote

import attrs

from gapdrum.core.endpoints import Endpoint
from gapdrum.core.runner_models import ListedRunner
from gapdrum.platform.resources import decode_resources
from gapdrum.transport.http_client import HttpClient, NoReplyError

# A page holds some hundred machines; a longer list is treated as a fault.
MAX_PAGES = 50


async def find_listed_runner(
    address: Endpoint, runner_id: str, timeout_ms: int
) -> ListedRunner | None:
    """Return the runner's row in the list, None if there is none.

    Raises NotSentError, and NoReplyError also for an error status or a malformed reply.
    """
    client = HttpClient(address.host, address.port)
    path = "/machines"
    try:
        for _ in range(MAX_PAGES):
            page = decode_page(await _read_page(client, path, timeout_ms), runner_id)
            if page.found is not None or not page.next_token:
                return page.found
            path = f"/machines?page_token={quote(page.next_token)}"
    finally:
        client.close()
    raise NoReplyError(f"the list of machines has over {MAX_PAGES} pages")


@attrs.frozen
class ListPage:
    """The runner's row on a page, if any, and the token of the next page."""

    found: ListedRunner | None
    next_token: str


def decode_page(document: Any, runner_id: str) -> ListPage:
    """Decode a page and look a runner up on it; raises NoReplyError.

    Rows that are not objects are ignored, as are malformed rows of other runners.
    """
    try:
        rows = [row for row in document["machines"] if isinstance(row, dict)]
        found = next((row for row in rows if row.get("id") == runner_id), None)
        token = str(document.get("next_token") or "")
        return ListPage(_decode_machine(found) if found is not None else None, token)
    except (LookupError, TypeError, ValueError, AttributeError) as error:
        raise NoReplyError(f"the list of machines is malformed: {error!r}") from error


async def _read_page(client: HttpClient, path: str, timeout_ms: int) -> Any:
    reply = await client.call("GET", path, timeout_ms=timeout_ms)
    if reply.status != 200:
        raise NoReplyError(f"the list of machines answered with status {reply.status}")
    try:
        return reply.document()
    except ValueError as error:
        raise NoReplyError("the list of machines is not valid JSON") from error


def _decode_machine(row: dict[str, Any]) -> ListedRunner:
    return ListedRunner(
        # The machines of one ``pool`` serve one upstream.
        upstream=_decode_pool(row["pool"]),
        capacity=decode_resources(row["capacity"]),
        labels=_decode_labels(row.get("labels", [])),
    )


def _decode_pool(pool: object) -> str:
    if not isinstance(pool, str) or not pool:
        raise ValueError("the pool has no name")
    return pool


def _decode_labels(labels: object) -> tuple[str, ...]:
    if not isinstance(labels, list) or not all(isinstance(label, str) for label in labels):
        raise ValueError("labels must be strings")
    return tuple(labels)
