"""Steps on the test harness that starts systems."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

TOOLS = Path(__file__).parent.parent.parent / "tools"
FIND_PORTS = """
import sys
from local_system import find_port
print(*[find_port() for _ in range(int(sys.argv[1]))], flush=True)
sys.stdin.read()
"""


@when("{processes:d} processes look for {count:d} ports each at the same time")
def look_for_ports(context, processes, count):
    command = [sys.executable, "-c", FIND_PORTS, str(count)]
    started = [
        subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, cwd=TOOLS
        )
        for _ in range(processes)
    ]
    context.ports = [process.stdout.readline().split() for process in started]
    for process in started:
        process.communicate()
    assert all(len(ports) == count for ports in context.ports)


@then("no port was given to two of them")
def ports_differ(context):
    found = [port for ports in context.ports for port in ports]
    assert len(set(found)) == len(found), len(found) - len(set(found))


@then("its entries see all of its runners")
def all_runners_seen(context):
    for number in range(len(context.system.entries)):
        figures = context.system.metrics(f"entry-{number}")
        assert "gapdrum_runners_seen" in figures
    assert context.system._count_room() >= len(context.system.runners)
