from __future__ import annotations

import subprocess
import sys

import pytest

# Each start of a node pays for what it imports; these aren't needed on the platform.
_NEEDLESS = ["aiomisc", "pydantic", "aiohttp.web", "_masticspoke.messages.control"]
_LIST_MODULES = """
import sys
import _masticspoke.platform.__main__ as program
program._prepare_imports()
import _masticspoke.platform.node
import ssl
print(len(ssl.create_default_context().get_ca_certs()))
print(*sys.modules)
"""


@pytest.fixture(scope="module")
def listing() -> tuple[int, set[str]]:
    output = subprocess.run(
        [sys.executable, "-c", _LIST_MODULES],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    certificates, modules = output.splitlines()
    return int(certificates), set(modules.split())


@pytest.mark.parametrize("module", _NEEDLESS)
def test_platform_node_imports_only_what_it_needs(
    listing: tuple[int, set[str]], module: str
) -> None:
    assert module not in listing[1]


def test_platform_node_reads_no_certificates(listing: tuple[int, set[str]]) -> None:
    assert listing[0] == 0
