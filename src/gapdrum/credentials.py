"""Who may do what: bearer tokens, compared in constant time and never logged."""

import hmac

from gapdrum.config import Credential
from gapdrum.exceptions import ForbiddenError, UnauthorizedError

CALLER = "caller"
OPERATOR = "operator"
RUNNER = "runner"


class Credentials:
    """The tokens of a process's configuration."""

    def __init__(self, credentials: list[Credential]) -> None:
        self._credentials = credentials

    def identify(self, token: str) -> Credential:
        """Return whose token this is; raises UnauthorizedError.

        Every known token is compared, so that the time tells nothing.
        """
        given = token.encode()
        found = None
        for credential in self._credentials:
            if hmac.compare_digest(given, credential.token.encode()):
                found = credential
        if found is None:
            raise UnauthorizedError("a valid bearer token is needed")
        return found

    def require(self, token: str, *roles: str) -> Credential:
        """Return whose token this is if it has one of the roles."""
        credential = self.identify(token)
        if credential.role not in roles:
            raise ForbiddenError(f"the role {credential.role} may not do this")
        return credential

    def require_team(self, token: str, team: str) -> Credential:
        """Return whose token this is if it covers the team."""
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
