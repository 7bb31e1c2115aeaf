from __future__ import annotations

import re
from pathlib import Path

import pytest

from _masticspoke.decisions.fleet.learned_limit import LearningMode
from _masticspoke.decisions.fleet.model import QuotaBounds
from _masticspoke.errors import SettingsError
from _masticspoke.model import Address
from _masticspoke.platform.settings import load_fleet_settings

TEMPLATE = Path(__file__).parents[2] / "deploy" / "node.ini"
FIELDS = {
    "node_name": "n1",
    "zone": "a",
    "service": "desk",
    "ip": "10.1.0.8",
    "listeners_by_port.outbound": "10.1.0.8:8304",
    "listeners_by_port.inbound": "10.1.0.8:8300",
    "listeners_by_port.readiness_address": "10.1.0.8:8302",
    "listeners_by_port.control_plane": "10.1.0.8:8306",
    "application_address": "10.1.0.8:8301",
    "internal_port_range.0": "7620",
    "seed_nodes": "10.1.0.9:8306,10.1.0.10:8306",
    "platform.address": "10.200.1.7:8309",
    "limits.memory_limit_mb": "256",
    "contract_bounds": "grace_period_s=6,retry_budget_extra=49,ack_binds=true",
}


def write_settings(folder: Path, **changes: str) -> Path:
    fields = {**FIELDS, **changes}
    text = re.sub(r"{{(.*?)}}", lambda m: fields[m[1]], TEMPLATE.read_text("utf-8"))
    path = folder / "node.ini"
    path.write_text(text)
    return path


def test_template_maps_platform_fields_to_settings(tmp_path: Path) -> None:
    settings = load_fleet_settings(write_settings(tmp_path))

    assert settings.clients == Address("10.1.0.8", 8304)
    assert settings.seeds == ("10.1.0.9", "10.1.0.10")
    assert settings.budget.extra == 49
    assert settings.budget.ratio == 0.2
    assert settings.stop_timeout_s == pytest.approx(5.2)
    assert settings.memory_limit_bytes == 256 * 2**20


@pytest.mark.parametrize("text", ["", "0", "null", "{{limits.memory_limit_mb}}"])
def test_memory_limit_that_is_no_number_is_none(tmp_path: Path, text: str) -> None:
    path = write_settings(tmp_path, **{"limits.memory_limit_mb": text})
    assert load_fleet_settings(path).memory_limit_bytes is None


def test_bounds_may_be_a_json_object(tmp_path: Path) -> None:
    """The platform writes the table of bounds as JSON; all of them were ignored."""
    bounds = (
        '{"retry_budget_extra":112,"grace_period_s":8,"revoke_partitioned":true,'
        '"revocation_ms":5000,"quota_window_s":4,"quota_tolerance":20,"ack_binds":null}'
    )
    settings = load_fleet_settings(write_settings(tmp_path, contract_bounds=bounds))

    assert settings.budget.extra == 112
    assert settings.stop_timeout_s == pytest.approx(7.2)
    assert settings.revocation_s == 5.0
    assert settings.quota == QuotaBounds(window_s=4, overshoot=0.1, tolerance=20)


def test_keys_need_not_end_in_time_without_the_bound(tmp_path: Path) -> None:
    bounds = "revoke_partitioned=false,revocation_ms=5000"
    settings = load_fleet_settings(write_settings(tmp_path, contract_bounds=bounds))

    assert settings.revocation_s is None


def test_seeds_may_be_empty(tmp_path: Path) -> None:
    assert load_fleet_settings(write_settings(tmp_path, seed_nodes="")).seeds == ()


def test_error_names_the_field_of_a_wrong_address(tmp_path: Path) -> None:
    path = write_settings(tmp_path, **{"platform.address": "nowhere"})

    with pytest.raises(SettingsError, match=r"log\.address"):
        load_fleet_settings(path)


def test_missing_file_is_a_settings_error(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="template"):
        load_fleet_settings(tmp_path / "none.ini")


def test_wrong_or_missing_mode_of_limit_learning(tmp_path: Path) -> None:
    path = write_settings(tmp_path)
    text = path.read_text("utf-8")
    assert load_fleet_settings(path).learned_limit is LearningMode.AUTO
    path.write_text(text.replace("learned_limit = auto", "learned_limit = off"))
    assert load_fleet_settings(path).learned_limit is LearningMode.OFF
    path.write_text(text.partition("[guard]")[0])
    assert load_fleet_settings(path).learned_limit is LearningMode.AUTO
    path.write_text(text.replace("learned_limit = auto", "learned_limit = maybe"))
    with pytest.raises(SettingsError, match="maybe"):
        load_fleet_settings(path)
