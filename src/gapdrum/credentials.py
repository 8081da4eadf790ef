"""Authorization by bearer tokens, which are compared in constant time and never logged."""

import hmac

from gapdrum.config import Credential
from gapdrum.exceptions import ForbiddenError, UnauthorizedError

CALLER = "caller"
OPERATOR = "operator"
RUNNER = "runner"


class Credentials:
    """The credentials in the configuration of a process."""

    def __init__(self, credentials: list[Credential]) -> None:
        self._credentials = credentials

    def identify(self, token: str) -> Credential:
        """Return the credential of a token; raises UnauthorizedError.

        The token is compared with every known one, so that the time reveals nothing.
        """
        given = token.encode()
        found = None
        for credential in self._credentials:
            if hmac.compare_digest(given, credential.token.encode()):
                found = credential
        if found is None:
            raise UnauthorizedError("a valid bearer token is required")
        return found

    def require(self, token: str, *roles: str) -> Credential:
        """Return the credential of a token; raises ForbiddenError if it has none of the roles."""
        credential = self.identify(token)
        if credential.role not in roles:
            raise ForbiddenError(f"the role {credential.role} may not do this")
        return credential

    def require_team(self, token: str, team: str) -> Credential:
        """Return the credential of a token; raises ForbiddenError unless it covers the team."""
        credential = self.require(token, CALLER, OPERATOR)
        if credential.teams and team not in credential.teams:
            raise ForbiddenError("the token does not cover this team")
        return credential


def require_subtree(credential: Credential, path: str) -> None:
    """Raise ForbiddenError unless the operator may change the settings node."""
    subtrees = credential.subtrees
    if subtrees and not any(_covers(subtree, path) for subtree in subtrees):
        raise ForbiddenError(f"the token does not cover the node {path!r}")


def _covers(subtree: str, path: str) -> bool:
    return subtree == "" or path == subtree or path.startswith(subtree + "/")
