"""Check packages against the rules of the shape.

``python -m testing.shape.check_shape FOLDER ...``
"""

from __future__ import annotations

import ast
import sys
from collections.abc import Sequence
from pathlib import Path

from testing.shape.rules import Module
from testing.shape.rules import RULES
from testing.shape.rules import Violation


def load_modules(package: Path) -> list[Module]:
    return [
        Module(path.relative_to(package).as_posix(), ast.parse(path.read_text("utf-8")))
        for path in sorted(package.rglob("*.py"))
    ]


def violations(modules: Sequence[Module]) -> list[Violation]:
    return [violation for rule in RULES for violation in rule(modules)]


def main(folders: Sequence[str]) -> int:
    count = 0
    for folder in folders:
        modules = load_modules(Path(folder))
        if not modules:
            print(f"{folder}: no modules; give the folder of a package")
            return 2
        for violation in violations(modules):
            count += 1
            print(
                f"{folder}/{violation.path}:{violation.line}:"
                f" {violation.rule}: {violation.problem}",
            )
    print(f"check-shape: {len(RULES)} rules, {count} violations")
    return 1 if count else 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
