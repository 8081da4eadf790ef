"""Steps that run the programs as an operator would."""

import json
import os
import re
import shlex
import subprocess
import tempfile
from pathlib import Path

from behave import given, then, when
from local_system import BIN, OPERATOR_TOKEN
from whole_path_steps import submit

API_PAGE = Path(__file__).parent.parent.parent / "docs" / "API.md"
TIMEOUT_S = 90
INVALID_SETTINGS = """{
  // three faults, each on its own line
  "entry_id": 7,
  "zone": "plaine-nord", "http": {"host": "127.0.0.1", "port": 70000},
  "streams": {"host": "127.0.0.1", "port": 8081},
  "store_url": "http://127.0.0.1:9000", "stream_token": "t", "credentials": "none"
}
"""


def run(program, arguments, **environment):
    return subprocess.run(
        [str(BIN / program), *arguments],
        env={**os.environ, "COLUMNS": "200", **environment},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@then("these commands print and exit with:")
def check_commands(context):
    url = context.system.url(context.system.entries[0], "")
    for row in context.table:
        arguments = shlex.split(row["command"])
        done = run("gapdrum", arguments, GAPDRUM_URL=url, GAPDRUM_TOKEN=OPERATOR_TOKEN)
        printed = done.stdout + done.stderr
        assert row["prints"] in printed, (row["command"], printed)
        assert done.returncode == int(row["code"]), (row["command"], done.returncode, printed)


@when("the first example of the API page is submitted")
def submit_example(context):
    example = re.search(r"```json\n(.*?)```", API_PAGE.read_text(), re.DOTALL).group(1)
    submit(context, json.loads(example))


@given("an entry's settings file with 3 faults")
def write_invalid_settings(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / "entry.json"
    context.path.write_text(INVALID_SETTINGS)


@when("the entry is started with that file")
def start_with_file(context):
    context.done = run("gapdrum-entry", ["--settings", str(context.path)])


@then('it exits with {code:d} and names the lines "{lines}"')
def check_lines(context, code, lines):
    found = re.findall(r"entry\.json:(\d+)", context.done.stderr)
    assert context.done.returncode == code, context.done
    assert found == lines.split(", "), context.done.stderr
