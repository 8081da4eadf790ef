"""The calls that most programs need; each opens a session for one call.

::

    answer = api.submit("http://127.0.0.1:8080", token, submission)
"""

from typing import Any

from gapdrum.models import Answer, Submission
from gapdrum.sessions import Session


def submit(url: str, token: str, submission: Submission) -> Answer:
    """Submit a job and return its whole answer."""
    with Session([url], token) as session:
        return session.submit(submission)


def fetch(url: str, token: str, team: str, key: str) -> Any:
    """Return the answer of a job, or its progress."""
    with Session([url], token) as session:
        return session.call("GET", f"/v1/jobs/{team}/{key}")


def cancel(url: str, token: str, team: str, key: str) -> Any:
    """Cancel a job."""
    with Session([url], token) as session:
        return session.call("POST", f"/v1/jobs/{team}/{key}/cancel")


def explain(url: str, token: str, team: str, key: str) -> Any:
    """Return the decisions made on a job."""
    with Session([url], token) as session:
        return session.call("GET", f"/v1/jobs/{team}/{key}/decisions")
