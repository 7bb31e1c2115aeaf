from __future__ import annotations

import re
from collections.abc import Iterator

import pytest
from pydantic import BaseModel
from pydantic.fields import FieldInfo
from testing.docs.pages import rows
from testing.docs.pages import text

from _masticspoke import errors
from _masticspoke.border.catalogue_ini import ClassSection
from _masticspoke.border.catalogue_ini import EntrySection
from _masticspoke.border.settings import Settings
from _masticspoke.cli.main import main
from _masticspoke.metrics.families import Metric
from _masticspoke.refusals import REASONS


def table(first_heading: str, columns: int) -> list[tuple[str, ...]]:
    table_rows = rows(text("OPERATIONS.md"), first_heading)
    return sorted(tuple(cells[:columns]) for cells in table_rows)


def default_text(field: FieldInfo) -> str:
    if field.is_required():
        return "required"
    words = {True: "yes", False: "no"} if isinstance(field.default, bool) else {}
    return (
        "none"
        if field.default in ((), None)
        else words.get(field.default, str(field.default))
    )


def settings() -> Iterator[tuple[str, str]]:
    for section, field in Settings.model_fields.items():
        model = field.annotation
        assert isinstance(model, type)
        assert issubclass(model, BaseModel)
        for name, key in model.model_fields.items():
            yield f"{section}.{name}", default_text(key)


def test_page_lists_each_setting_with_its_default() -> None:
    assert table("setting", 2) == sorted(settings())


@pytest.mark.parametrize(
    ("heading", "model"), [("class key", ClassSection), ("entry key", EntrySection)]
)
def test_page_lists_each_catalogue_key(heading: str, model: type[BaseModel]) -> None:
    keys = [
        (f.alias or name, default_text(f)) for name, f in model.model_fields.items()
    ]

    assert table(heading, 2) == sorted(keys)


def test_page_lists_each_metric_with_its_labels() -> None:
    specs = [(m.value.name, ", ".join(m.value.labels)) for m in Metric]

    assert table("metric", 2) == sorted(specs)


def test_page_lists_each_reason_with_its_status() -> None:
    reasons = [(reason.value, str(spec.status)) for reason, spec in REASONS.items()]

    assert table("reason", 2) == sorted(reasons)


@pytest.mark.parametrize("words", [(), ("catalogue",)])
def test_page_lists_each_command(
    words: tuple[str, ...], capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit):
        main([*words, "--help"])
    names = re.findall(r"^    (\w+)  ", capsys.readouterr().out, re.MULTILINE)
    page = text("OPERATIONS.md")

    assert names
    assert [
        n for n in names if f"masticspoke {' '.join([*words, n])}" not in page
    ] == []


def test_page_lists_each_exit_code() -> None:
    classes = [e for e in vars(errors).values() if isinstance(e, type)]
    codes = {e.exit_code for e in classes if issubclass(e, errors.MasticspokeError)}

    assert [int(code) for (code,) in table("exit code", 1)] == sorted({0, *codes})


@pytest.mark.parametrize("heading", ["metric", "reason", "setting", "entry key"])
def test_each_row_says_what_to_do(heading: str) -> None:
    table_rows = rows(text("OPERATIONS.md"), heading)

    assert [cells[0] for cells in table_rows if not cells[-1]] == []
