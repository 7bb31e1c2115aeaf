from __future__ import annotations

import subprocess
import sys

from testing.live.fleet import PORTS_PER_BLOCK
from testing.live.fleet import ROOT

# Runs with process ids whose blocks are the same.
_PRINT_PORTS = """
import os
os.getpid = lambda: 4711
from testing.live.fleet import free_port
print([free_port() for _ in range(20)], flush=True)
input()
"""


def test_processes_beside_each_other_take_no_common_port() -> None:
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", _PRINT_PORTS],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(3)
    ]
    blocks = []
    for process in processes:
        assert process.stdout is not None
        line = process.stdout.readline()
        ports = [int(port) for port in line.strip("[]\n").split(",")]
        blocks.append({port // PORTS_PER_BLOCK for port in ports})
    for process in processes:
        process.communicate("\n")
    assert all(len(block) == 1 for block in blocks)
    assert len(set.union(*blocks)) == len(processes)
