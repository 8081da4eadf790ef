"""The platform's list of the machines that runners live on."""

from typing import Any
from urllib.parse import quote

from gapdrum.core.endpoints import Endpoint
from gapdrum.core.runner_models import ListedRunner
from gapdrum.platform.resources import decode_resources
from gapdrum.transport.http_client import HttpClient, NoReplyError

# A page holds some hundred machines; more pages than this are taken for a fault.
MAX_PAGES = 50


async def find_listed_runner(
    address: Endpoint, runner_id: str, timeout_ms: int
) -> ListedRunner | None:
    """Return what the list says of a runner, None if it isn't there.

    Raises NotSentError, and NoReplyError for a missing, refused or malformed answer, too.
    """
    client = HttpClient(address.host, address.port)
    path = "/machines"
    try:
        for _ in range(MAX_PAGES):
            document = await _read_page(client, path, timeout_ms)
            for row in document["machines"]:
                if row.get("id") == runner_id:
                    return _decode_machine(row)
            if not document.get("next_token"):
                return None
            path = f"/machines?page_token={quote(str(document['next_token']))}"
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise NoReplyError(f"the list of machines is malformed: {error!r}") from error
    finally:
        client.close()
    raise NoReplyError(f"the list of machines has over {MAX_PAGES} pages")


async def _read_page(client: HttpClient, path: str, timeout_ms: int) -> dict[str, Any]:
    reply = await client.call("GET", path, timeout_ms=timeout_ms)
    if reply.status != 200:
        raise NoReplyError(f"the list of machines was answered {reply.status}")
    return reply.document()


def _decode_machine(row: dict[str, Any]) -> ListedRunner:
    return ListedRunner(
        # A ``pool`` of machines is what serves an upstream.
        upstream=row["pool"],
        capacity=decode_resources(row["capacity"]),
        labels=tuple(row.get("labels", ())),
    )
