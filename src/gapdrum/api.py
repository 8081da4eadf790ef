"""Functions for single calls to an entry; each opens a session of its own.

::

    answer = api.submit("http://127.0.0.1:8080", token, submission)
"""

from typing import Any

from gapdrum.models import Answer, Submission
from gapdrum.sessions import Session


def submit(url: str, token: str, submission: Submission) -> Answer:
    """Submit a job and return its answer."""
    with Session([url], token) as session:
        return session.submit(submission)


def fetch(url: str, token: str, team: str, key: str) -> Any:
    """Return the answer to a job, or its progress if there is no answer yet."""
    with Session([url], token) as session:
        return session.call("GET", f"/v1/jobs/{team}/{key}")


def cancel(url: str, token: str, team: str, key: str) -> Any:
    """Cancel a job."""
    with Session([url], token) as session:
        return session.call("POST", f"/v1/jobs/{team}/{key}/cancel")


def explain(url: str, token: str, team: str, key: str) -> Any:
    """Return the decisions about a job."""
    with Session([url], token) as session:
        return session.call("GET", f"/v1/jobs/{team}/{key}/decisions")
