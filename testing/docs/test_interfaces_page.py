from __future__ import annotations

import importlib
import pkgutil
from types import ModuleType

import pytest
from pydantic import BaseModel
from testing.docs.pages import column
from testing.docs.pages import text

import _masticspoke
from _masticspoke.border.announcement import AnnouncementModel
from _masticspoke.border.headers import CallModel
from _masticspoke.border.headers import ReportModel
from _masticspoke.border.problem import CONTENT_TYPE
from _masticspoke.border.problem import ProblemModel

SUFFIXES = ("_HEADER", "_PATH", "_PREFIX", "_STREAM")


def modules() -> list[ModuleType]:
    module_infos = pkgutil.walk_packages(_masticspoke.__path__, "_masticspoke.")
    return [importlib.import_module(info.name) for info in module_infos]


def constants() -> dict[str, str]:
    return {
        name: value
        for module in modules()
        for name, value in vars(module).items()
        if name.endswith(SUFFIXES) and not name.startswith("_")
    }


def test_there_are_constants_to_compare() -> None:
    assert {"CALL_HEADER", "STATUS_PATH", "MEMBERS_STREAM"} <= constants().keys()


@pytest.mark.parametrize("name", sorted(constants()))
def test_each_header_path_and_stream_is_on_the_page(name: str) -> None:
    value = constants()[name]
    page = text("INTERFACES.md")

    assert any(f"{before}{value}{after}" in page for before in "` " for after in "`?")


def test_problem_type_is_on_the_page() -> None:
    assert f"`{CONTENT_TYPE}`" in text("INTERFACES.md")


@pytest.mark.parametrize(
    ("heading", "model"),
    [
        ("member", ProblemModel),
        ("announcement member", AnnouncementModel),
        ("call member", CallModel),
        ("report member", ReportModel),
    ],
)
def test_page_lists_the_members_of_each_body(
    heading: str, model: type[BaseModel]
) -> None:
    fields = model.model_fields.items()
    names = {field.alias or name for name, field in fields}

    assert sorted(column(text("INTERFACES.md"), heading)) == sorted(names)
