from __future__ import annotations

from pathlib import Path

import pytest
from testing.docs.pages import ROOT

from _masticspoke.border.catalogue_ini import load_catalogue
from _masticspoke.border.settings import load_settings
from _masticspoke.cli.main import main

EXAMPLES = ROOT / "examples"
NODES = sorted(EXAMPLES.glob("node-*.ini"))
CATALOGUES = sorted(set(EXAMPLES.glob("*.ini")) - set(NODES))
SERVICES = {
    "kerala-south.ini": {"inspect-desk", "tooling-desk", "audit-vault", "batch-board"},
    "sk-central.ini": {"planovac", "rezervacie", "videoteka", "dennik"},
}


@pytest.mark.parametrize("path", CATALOGUES, ids=lambda p: p.name)
def test_catalogue_check_passes(path: Path) -> None:
    assert main(["catalogue", "check", str(path)]) == 0


@pytest.mark.parametrize("path", NODES, ids=lambda p: p.name)
def test_node_settings_load(path: Path) -> None:
    assert load_settings(path).node.zone


@pytest.mark.parametrize("name", SERVICES)
def test_deployment_has_entries_for_each_service(name: str) -> None:
    entries = load_catalogue(EXAMPLES / name).entries

    assert {entry.service for entry in entries} == SERVICES[name]


@pytest.mark.parametrize("path", CATALOGUES, ids=lambda p: p.name)
def test_exactly_the_non_idempotent_entries_are_shed_last(path: Path) -> None:
    for entry in load_catalogue(path).entries:
        assert entry.shed_last is not entry.idempotent
