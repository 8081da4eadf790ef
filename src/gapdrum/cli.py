"""The operators' command line: settings, explanations, runners, jobs and teams.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage or invalid input,
3 conflict with another operator's change, 4 entry unreachable.
"""

import json
from pathlib import Path
from typing import Annotated, Any

import json5
import typer
from rich.console import Console
from rich.table import Table

from gapdrum.conversion import unstructure
from gapdrum.exceptions import GapdrumError
from gapdrum.losses import draw_losses, summarize_losses
from gapdrum.sessions import Session
from gapdrum.settings import DRAINED
from gapdrum.timelines import build_timeline, read_lines

EXIT_FAILED = 1
EXIT_FINDINGS = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
WAIT_PER_CALL_MS = 2_000
MAX_WAIT_CALLS = 30
EXIT_CODES = {
    "invalid_input": EXIT_FINDINGS,
    "version_conflict": EXIT_CONFLICT,
    "entry_unreachable": EXIT_UNREACHABLE,
}

app = typer.Typer(no_args_is_help=True, help="Operate gapdrum through any of its entries.")
config_app = typer.Typer(no_args_is_help=True, help="Read and change the settings tree.")
app.add_typer(config_app, name="config")
logs_app = typer.Typer(no_args_is_help=True, help="Read the logs of processes.")
app.add_typer(logs_app, name="logs")

Url = Annotated[str, typer.Option(envvar="GAPDRUM_URL", help="An entry's URL.")]
Token = Annotated[str, typer.Option(envvar="GAPDRUM_TOKEN", help="The operator's token.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]
Reason = Annotated[str, typer.Option(help="Why, for the audit trail.")]
DryRun = Annotated[bool, typer.Option("--dry-run", help="Check only; nothing changes.")]
Team = Annotated[str, typer.Argument(help="The team of the job.")]
Key = Annotated[str, typer.Argument(help="The idempotency key of the job.")]

DEFAULT_URL = "http://127.0.0.1:8080"


def call(url: str, token: str, method: str, path: str, document: Any = None) -> Any:
    """Call an entry; print an error with its findings and exit with its code."""
    try:
        with Session([url], token) as session:
            return session.call(method, path, document)
    except GapdrumError as error:
        typer.echo(f"{error.code}: {error.message}", err=True)
        for finding in error.findings:
            typer.echo(f"  {finding.place}: {finding.message}", err=True)
        raise typer.Exit(EXIT_CODES.get(error.code, EXIT_FAILED)) from error


def show(rows: list[dict[str, Any]], as_json: bool) -> None:
    """Print rows as a table, or as JSON for programs."""
    if as_json:
        typer.echo(json.dumps(rows))
        return
    if not rows:
        typer.echo("none")
        return
    table = Table()
    for name in rows[0]:
        table.add_column(name, overflow="fold")
    for row in rows:
        table.add_row(*(_cell(value) for value in row.values()))
    Console(width=max(100, Console().width)).print(table)


@app.command()
def status(token: Token, url: Url = DEFAULT_URL, as_json: AsJson = False) -> None:
    """Show the state of an entry."""
    show([call(url, token, "GET", "/v1/status")], as_json)


@app.command()
def runners(token: Token, url: Url = DEFAULT_URL, as_json: AsJson = False) -> None:
    """List the runners known to an entry, with load and state."""
    show(call(url, token, "GET", "/v1/runners")["runners"], as_json)


@app.command()
def jobs(token: Token, url: Url = DEFAULT_URL, as_json: AsJson = False) -> None:
    """List the jobs that an entry has not answered yet."""
    show(call(url, token, "GET", "/v1/open-jobs")["jobs"], as_json)


@app.command()
def teams(token: Token, url: Url = DEFAULT_URL, as_json: AsJson = False) -> None:
    """List the number of running tasks of each team."""
    show(call(url, token, "GET", "/v1/teams")["teams"], as_json)


@app.command()
def explain(
    team: Team,
    key: Key,
    token: Token,
    task: Annotated[int | None, typer.Argument(help="One task of the job.")] = None,
    url: Url = DEFAULT_URL,
    as_json: AsJson = False,
) -> None:
    """Show all decisions about a job, with time, reason and figures."""
    path = f"/v1/jobs/{team}/{key}/decisions"
    if task is not None:
        path += f"?task={task}"
    decisions = call(url, token, "GET", path)["decisions"]
    if not decisions and not as_json:
        typer.echo("no record of this job was found")
        raise typer.Exit(EXIT_FAILED)
    show(decisions, as_json)


@app.command()
def cancel(team: Team, key: Key, token: Token, url: Url = DEFAULT_URL) -> None:
    """Cancel a job; tasks that have not started will not run."""
    call(url, token, "POST", f"/v1/jobs/{team}/{key}/cancel")
    typer.echo("cancelling")


@app.command()
def drain(
    agent: Annotated[str, typer.Argument(help="The agent beside the runner.")],
    token: Token,
    url: Url = DEFAULT_URL,
    undo: Annotated[bool, typer.Option("--undo", help="Give it work again.")] = False,
    reason: Reason = "",
) -> None:
    """Stop giving a runner new work; this is a setting, so it holds at every entry."""
    value = None if undo else DRAINED
    _change(url, token, [(f"runner/{agent}", "runner_mode", value)], reason, False)


@app.command("drain-zone")
def drain_zone(
    zone: Annotated[str, typer.Argument(help="The availability zone.")],
    token: Token,
    url: Url = DEFAULT_URL,
    undo: Annotated[bool, typer.Option("--undo", help="Restore it: give it work again.")] = False,
    reason: Reason = "",
) -> None:
    """Start no more tasks in an availability zone; running tasks there may finish."""
    value = None if undo else DRAINED
    _change(url, token, [(f"zone/{zone}", "zone_mode", value)], reason, False)


@config_app.command("get")
def config_get(
    token: Token,
    path: Annotated[str, typer.Argument(help="The node, such as team/schools.")] = "",
    url: Url = DEFAULT_URL,
    as_json: AsJson = False,
) -> None:
    """Show the values in force at a node, and the node that sets each."""
    show(call(url, token, "GET", f"/v1/config/effective/{path}")["values"], as_json)


@config_app.command("set")
def config_set(
    path: Annotated[str, typer.Argument(help="The node; '/' is the root.")],
    name: Annotated[str, typer.Argument(help="The setting.")],
    value: Annotated[str, typer.Argument(help="Its value.")],
    token: Token,
    url: Url = DEFAULT_URL,
    reason: Reason = "",
    dry_run: DryRun = False,
) -> None:
    """Set one value at a node."""
    parsed = int(value) if value.lstrip("-").isdecimal() else value
    _change(url, token, [(path.strip("/"), name, parsed)], reason, dry_run)


@config_app.command("unset")
def config_unset(
    path: Annotated[str, typer.Argument(help="The node; '/' is the root.")],
    name: Annotated[str, typer.Argument(help="The setting.")],
    token: Token,
    url: Url = DEFAULT_URL,
    reason: Reason = "",
) -> None:
    """Remove a value from a node, so that it is inherited again."""
    _change(url, token, [(path.strip("/"), name, None)], reason, False)


@config_app.command("diff")
def config_diff(
    file: Annotated[Path, typer.Argument(help="A tree: JSON with comments.")],
    token: Token,
    url: Url = DEFAULT_URL,
    as_json: AsJson = False,
) -> None:
    """Show the changes that applying a file would make."""
    tree = call(url, token, "GET", "/v1/config")
    changes = _list_differences(tree["nodes"], _read_nodes(file))
    show([{"path": p, "name": n, "value": v} for p, n, v in changes], as_json)


@config_app.command("apply")
def config_apply(
    file: Annotated[Path, typer.Argument(help="A tree: JSON with comments.")],
    token: Token,
    url: Url = DEFAULT_URL,
    reason: Reason = "",
    dry_run: DryRun = False,
) -> None:
    """Replace the whole settings tree by that of a file, in one change."""
    tree = call(url, token, "GET", "/v1/config")
    changes = _list_differences(tree["nodes"], _read_nodes(file))
    if not changes:
        typer.echo("nothing to change")
        return
    _change(url, token, changes, reason, dry_run, tree["version"])


@config_app.command("history")
def config_history(token: Token, url: Url = DEFAULT_URL, as_json: AsJson = False) -> None:
    """Show the audit trail: all changes with operator, time and reason."""
    show(call(url, token, "GET", "/v1/config/history")["changes"], as_json)


@config_app.command("wait")
def config_wait(
    version: Annotated[int, typer.Argument(help="The version to wait for.")],
    token: Token,
    url: Url = DEFAULT_URL,
) -> None:
    """Wait until a version is in force at every entry and agent."""
    for _ in range(MAX_WAIT_CALLS):
        path = f"/v1/config/status?version={version}&wait_ms={WAIT_PER_CALL_MS}"
        answer = call(url, token, "GET", path)
        if answer["in_force"]:
            typer.echo(f"version {version} is in force everywhere")
            return
        lowest = min((row["agents_settings_version"] for row in answer["entries"]), default=0)
        typer.echo(f"waiting: the lowest version in force is {lowest}")
    raise typer.Exit(EXIT_FAILED)


def _change(
    url: str,
    token: str,
    changes: list[tuple[str, str, int | str | None]],
    reason: str,
    dry_run: bool,
    base_version: int | None = None,
) -> None:
    """Send one change, based on the current version by default, and print the outcome."""
    if base_version is None:
        base_version = call(url, token, "GET", "/v1/config")["version"]
    document = {
        "base_version": base_version,
        "reason": reason,
        "dry_run": dry_run,
        "changes": [{"path": p, "name": n, "value": v} for p, n, v in changes],
    }
    record = call(url, token, "POST", "/v1/config/changes", document)
    state = "would be" if dry_run else "is"
    typer.echo(f"version {record['version']} {state} accepted")


def _read_nodes(file: Path) -> dict[str, dict[str, Any]]:
    try:
        return json5.loads(file.read_text())
    except Exception as error:  # json5 raises several exception types for invalid input
        typer.echo(f"{file}: not JSON with comments: {error}", err=True)
        raise typer.Exit(EXIT_FINDINGS) from error


def _list_differences(
    before: dict[str, dict[str, Any]], after: dict[str, dict[str, Any]]
) -> list[tuple[str, str, int | str | None]]:
    """Return the values to set or remove that turn one tree into another."""
    changes = []
    for path in sorted({*before, *after}):
        old, new = before.get(path, {}), after.get(path, {})
        for name in sorted({*old, *new}):
            if old.get(name) != new.get(name):
                changes.append((path, name, new.get(name)))
    return changes


def _cell(value: Any) -> str:
    if isinstance(value, list):
        return ", ".join(_cell(item) for item in value)
    if isinstance(value, dict):
        return " ".join(f"{name}={_cell(item)}" for name, item in value.items())
    return "" if value is None else str(value)


@logs_app.command()
def trace(
    request: Annotated[str, typer.Argument(help="The request's identity.")],
    files: Annotated[list[Path], typer.Argument(help="Logs of entries and agents.")],
) -> None:
    """Show what all processes did with a request, in order of time, and a summary."""
    timeline = build_timeline(request, read_lines(files))
    for line in timeline.lines:
        typer.echo(line.render(timeline.begin_ms))
    for sentence in timeline.summary:
        typer.echo(f"* {sentence}")
    if not timeline.lines:
        raise typer.Exit(EXIT_FAILED)


@logs_app.command()
def losses(
    files: Annotated[list[Path], typer.Argument(help="Logs of entries and agents.")],
    as_json: AsJson = False,
) -> None:
    """Show which jobs were lost or late, when and for which reason, most frequent first.

    Seconds count from the first line; a job is late relative to its actual work.
    """
    found = summarize_losses(read_lines(files))
    if as_json:
        typer.echo(json.dumps([unstructure(loss) for loss in found]))
        return
    table = Table("jobs", "reason", "queues", "zones", "worst seconds")
    for loss in found:
        table.add_row(
            str(loss.jobs),
            loss.reason,
            _cell(dict(loss.queues.most_common())),
            _cell(dict(loss.zones.most_common())),
            loss.worst_seconds(),
        )
    Console().print(table)
    for line in draw_losses(found):
        typer.echo(line)


def main() -> None:
    """Run the command ``gapdrum``."""
    app()
