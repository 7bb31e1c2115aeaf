"""Each rule reports sample violations and accepts similar code that is allowed."""

from __future__ import annotations

import ast
from collections.abc import Mapping
from pathlib import Path

import pytest
from testing.shape import rules
from testing.shape.check_shape import main
from testing.shape.check_shape import violations
from testing.shape.rules import Module
from testing.shape.rules import Rule

HEADER = '"""A module."""\n\nfrom __future__ import annotations\n'
VIOLATING: list[tuple[Rule, str, str]] = [
    *(
        (rules.decisions_are_pure, "decisions/x.py", text)
        for text in (
            "import socket",
            "import time",
            "from time import monotonic",
            "import datetime",
            "from aiohttp import web",
            "import json",
            "import asyncio.timeouts",
            "from pydantic import Field",
            "import random",
            "from random import choice",
            "from _masticspoke.border.headers import encode_call",
            "from _masticspoke import events",
            "def f():\n    import time",
        )
    ),
    (rules.no_threads, "entry/x.py", "import threading"),
    (rules.no_threads, "entry/x.py", "from concurrent.futures import Future"),
    (rules.no_threads, "entry/x.py", "async def f():\n    await asyncio.to_thread(g)"),
    (rules.no_threads, "entry/x.py", "loop.run_in_executor(None, g)"),
    (
        rules.no_polling,
        "entry/x.py",
        "async def f():\n    while not done:\n        await asyncio.sleep(1)",
    ),
    (
        rules.no_polling,
        "entry/x.py",
        "async def f():\n    for _ in range(9):\n        await sleep(1)",
    ),
    (rules.no_polling, "entry/x.py", "def f():\n    time.sleep(1)"),
    (rules.no_polling, "control/log_reader.py", "x = 1"),
    (rules.classes_hold_state, "entry/x.py", "class A:\n    def f(self): ..."),
    (
        rules.classes_hold_state,
        "entry/x.py",
        "class A(Protocol):\n    def f(self): ...",
    ),
    (
        rules.classes_hold_state,
        "entry/x.py",
        "@dataclass\nclass A:\n    def f(self): ...",
    ),
    (rules.classes_are_final, "entry/x.py", "class A:\n    x: int"),
    (rules.mailboxes_are_bounded, "entry/x.py", "x = Mailbox()"),
    (rules.mailboxes_are_bounded, "entry/x.py", "x = Mailbox[int]()"),
    (rules.mailboxes_are_bounded, "entry/x.py", "x = asyncio.Queue(0)"),
    (rules.mailboxes_are_bounded, "entry/x.py", "x = asyncio.Queue(maxsize=0)"),
    (rules.private_names_are_not_shared, "entry/x.py", "def f(x):\n    return x._held"),
    (rules.private_names_are_not_shared, "entry/x.py", "from _masticspoke.a import _b"),
    (rules.private_names_are_not_shared, "entry/x.py", "from .a import _b"),
    (rules.private_names_are_not_shared, "entry/x.py", "def f(x):\n    x._held = 1"),
]
ALLOWED: list[tuple[Rule, str, str]] = [
    (rules.decisions_are_pure, "decisions/x.py", "from random import Random"),
    (rules.decisions_are_pure, "decisions/x.py", "from _masticspoke.model import Call"),
    (rules.decisions_are_pure, "entry/x.py", "import time"),
    (rules.no_polling, "entry/x.py", "async def f():\n    await asyncio.sleep(1)"),
    (
        rules.no_polling,
        "control/log_reader.py",
        "async def f():\n    while True:\n        await asyncio.sleep(1)",
    ),
    (rules.classes_hold_state, "entry/x.py", "@dataclass\nclass A:\n    '''Ask.'''"),
    (
        rules.classes_hold_state,
        "entry/x.py",
        "class B(Exception): ...\nclass A(B): ...",
    ),
    (
        rules.classes_hold_state,
        "entry/x.py",
        "class A:\n    def __init__(self):\n        self._x = 1",
    ),
    (
        rules.classes_are_final,
        "entry/x.py",
        "class A:\n    x: int\n@final\nclass B(A):\n    y: int",
    ),
    (rules.mailboxes_are_bounded, "entry/x.py", "x = Mailbox(capacity)"),
    (rules.mailboxes_are_bounded, "entry/x.py", "x = Mailbox[int](capacity=9)"),
    (
        rules.private_names_are_not_shared,
        "entry/x.py",
        "class A:\n    _x: int\n\ndef f(a):\n    return a._x",
    ),
    (
        rules.private_names_are_not_shared,
        "entry/x.py",
        "def f(x):\n    return x.__class__",
    ),
]


def module(path: str, text: str) -> Module:
    return Module(path, ast.parse(HEADER + text))


@pytest.mark.parametrize(("rule", "path", "text"), VIOLATING)
def test_violation_is_reported(rule: Rule, path: str, text: str) -> None:
    assert len(list(rule([module(path, text)]))) == 1


@pytest.mark.parametrize(("rule", "path", "text"), ALLOWED)
def test_allowed_code_passes(rule: Rule, path: str, text: str) -> None:
    assert list(rule([module(path, text)])) == []


@pytest.mark.parametrize(
    "text",
    ["", "x = 1", "from __future__ import annotations", '"""Doc."""\nimport time'],
)
def test_module_without_a_header_is_reported(text: str) -> None:
    bare = Module("entry/x.py", ast.parse(text))

    assert list(rules.modules_have_headers([bare])) != []
    assert list(rules.modules_have_headers([module("entry/x.py", "")])) == []


def test_each_rule_is_run_and_has_a_violating_sample() -> None:
    sampled_rules = {rule for rule, _, _ in VIOLATING} | {
        rules.modules_have_headers,
        rules.platform_names_are_in_the_adapter,
    }

    assert sampled_rules == set(rules.RULES)


def test_command_fails_on_a_violation_and_prints_its_location(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "decisions").mkdir()
    (tmp_path / "decisions" / "x.py").write_text(f"{HEADER}\nimport time\n")

    assert main([str(tmp_path)]) == 1
    assert (
        "decisions/x.py:5: decisions are pure: imports time" in capsys.readouterr().out
    )


def test_listed_pauses_have_a_reason() -> None:
    pauses: Mapping[str, str] = rules.PAUSES

    assert all(pauses.values())
    assert violations([]) == []


@pytest.mark.parametrize(
    ("name", "violation_count"),
    [("X-Own-Header", 1), ("/Own.Path/", 1), ("own_field", 1), ("Retry-After", 0)],
)
def test_platform_names_outside_the_adapter_are_found(
    name: str, violation_count: int
) -> None:
    text = f"{HEADER}NAME = {name!r}\n"
    modules = [
        Module(path, ast.parse(text)) for path in ("platform/x.py", "entry/x.py")
    ]
    violations = list(rules.platform_names_are_in_the_adapter(modules))

    assert [v.path for v in violations] == ["entry/x.py"] * violation_count
