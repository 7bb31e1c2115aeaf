"""Rules of the shape: functions that return the violations in a set of modules."""

from __future__ import annotations

import ast
import re
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import PurePosixPath
from typing import final
from typing import TypeGuard

PURE_FOLDER = "decisions"
PLATFORM_FOLDER = "platform"
# Headers, paths, streams and fields. Single words are too common to be checked.
PLATFORM_NAME = re.compile(r"^X-|^/\w|^keyed\.|^[a-z]+(_[a-z]+)+$|^[A-Z][a-z]+-[A-Z]")
# Names that the adapter has in common with other modules.
SHARED_NAMES = frozenset({"Retry-After", "control_plane", "utf-8"})
IMPURE_MODULES = frozenset(
    {
        "aiohttp",
        "aiomisc",
        "asyncio",
        "datetime",
        "json",
        "loguru",
        "os",
        "pydantic",
        "secrets",
        "select",
        "selectors",
        "socket",
        "ssl",
        "time",
        "uvloop",
    }
)
# Folders and modules of the package that decisions may import.
PURE_PARTS = frozenset({"decisions", "errors", "model", "refusals"})
THREAD_MODULES = frozenset(
    ["_thread", "concurrent", "multiprocessing", "subprocess", "threading"]
)
THREAD_CALLS = frozenset({"run_in_executor", "threaded", "to_thread"})
BOUNDED_QUEUES = {"Mailbox": "capacity", "Queue": "maxsize"}
STATELESS_BASES = frozenset(
    {
        "BaseModel",
        "ConnectionError",
        "Enum",
        "Exception",
        "IntEnum",
        "NamedTuple",
        "StrEnum",
    }
)

# Modules that may sleep in a loop, and why no message could replace the sleep.
PAUSES: Mapping[str, str] = {
    "cli/log_access.py": "the log service sends no message when it is up again",
    "control/log_reader.py": "the log service sends no message when it is up again",
    "dispatch/keyed.py": "no message reports that another home replaced a silent one",
    "fleet/departure.py": "no message reports that all running requests have ended",
    "fleet/knowledge/followers.py": (
        "the log service sends no message when it is up again"
    ),
    "fleet/guard/probe.py": (
        "the state that it waits for is published without a message"
    ),
    "fleet/knowledge/sync.py": "a peer without updates sends no message",
    "control/log_writer.py": "the log service sends no message when it is up again",
}


@final
@dataclass(frozen=True, slots=True)
class Module:
    """A source module.

    :param path: relative to its package, with slashes.
    """

    path: str
    tree: ast.Module

    @property
    def folder(self) -> str:
        """The first folder of the path, or an empty string."""
        parts = PurePosixPath(self.path).parts
        return parts[0] if len(parts) > 1 else ""


@final
@dataclass(frozen=True, slots=True)
class Violation:
    """A line that violates a rule."""

    path: str
    line: int
    rule: str
    problem: str


Rule = Callable[[Sequence[Module]], Iterable[Violation]]


def decisions_are_pure(modules: Sequence[Module]) -> Iterator[Violation]:
    """Decisions import no socket, clock, event loop, encoding or random function."""
    for module in modules:
        if module.folder != PURE_FOLDER:
            continue
        for line, source, name in _imports(module):
            if _is_impure(source, name):
                problem = (
                    f"imports {name} from {source}" if name else f"imports {source}"
                )
                yield Violation(module.path, line, "decisions are pure", problem)


def _is_impure(source: str, name: str) -> bool:
    root, _, rest = source.partition(".")
    if root == "random":
        return name != "Random"
    if root == "_masticspoke":
        return (rest.partition(".")[0] or name) not in PURE_PARTS
    return root in IMPURE_MODULES


def no_threads(modules: Sequence[Module]) -> Iterator[Violation]:
    """No module starts a thread or a process."""
    for module in modules:
        for line, source, name in _imports(module):
            if source.partition(".")[0] in THREAD_MODULES or name in THREAD_CALLS:
                yield Violation(module.path, line, "no threads", f"imports {source}")
        for call, name in _calls(module.tree):
            if name in THREAD_CALLS:
                yield Violation(module.path, call.lineno, "no threads", f"calls {name}")


def no_polling(
    modules: Sequence[Module], pauses: Mapping[str, str] = PAUSES
) -> Iterator[Violation]:
    """No loop sleeps and nothing calls ``time.sleep``, except in ``pauses``.

    A listed module that does neither is reported too.
    """
    rule = "no polling"
    for module in modules:
        sleeps = [
            (line, in_loop)
            for line, in_loop, blocking in _sleeps(module)
            if in_loop or blocking
        ]
        if module.path in pauses:
            if not sleeps:
                yield Violation(module.path, 1, rule, "listed in PAUSES, never sleeps")
            continue
        for line, in_loop in sleeps:
            problem = "sleeps in a loop" if in_loop else "blocks the event loop"
            yield Violation(module.path, line, rule, problem)


def _sleeps(module: Module) -> Iterator[tuple[int, bool, bool]]:
    """Yield (line, whether in a loop, whether ``time.sleep``) of each sleep."""
    loops = [n for n in ast.walk(module.tree) if isinstance(n, ast.While | ast.For)]
    inside = {id(call) for loop in loops for call in ast.walk(loop)}
    for call, name in _calls(module.tree):
        if name == "sleep":
            blocking = ast.unparse(call.func) == "time.sleep"
            yield call.lineno, id(call) in inside, blocking


def classes_hold_state(modules: Sequence[Module]) -> Iterator[Violation]:
    """Each class has fields, or is a model, an enumeration, an error or a message."""
    bases = _bases_by_class(modules)
    for module, node in _classes(modules):
        if not (_has_fields(node) or _may_be_stateless(node, bases)):
            problem = f"class {node.name} has no field"
            yield Violation(module.path, node.lineno, "classes hold state", problem)


def classes_are_final(modules: Sequence[Module]) -> Iterator[Violation]:
    """Each class is final unless another one is derived from it."""
    derived_from = {b for names in _bases_by_class(modules).values() for b in names}
    for module, node in _classes(modules):
        if "final" not in _decorators(node) and node.name not in derived_from:
            problem = f"class {node.name} is neither final nor a base"
            yield Violation(module.path, node.lineno, "classes are final", problem)


def mailboxes_are_bounded(modules: Sequence[Module]) -> Iterator[Violation]:
    """Each mailbox and queue is created with a capacity."""
    for module in modules:
        for call, name in _calls(module.tree):
            keyword = BOUNDED_QUEUES.get(name)
            if keyword is None or _has_capacity(call, keyword):
                continue
            problem = f"{name} without {keyword}"
            yield Violation(module.path, call.lineno, "mailboxes are bounded", problem)


def _has_capacity(call: ast.Call, keyword: str) -> bool:
    capacities = [*call.args, *(k.value for k in call.keywords if k.arg == keyword)]
    return bool(capacities) and not (
        isinstance(capacities[0], ast.Constant) and not capacities[0].value
    )


def private_names_are_not_shared(modules: Sequence[Module]) -> Iterator[Violation]:
    """No module uses another's private names or attributes."""
    for module in modules:
        for line, source, name in _imports(module):
            if _is_private(name):
                problem = f"imports {name} from {source}"
                yield Violation(module.path, line, "private names", problem)
        defined_here = _defined_attributes(module.tree)
        for node in ast.walk(module.tree):
            if not isinstance(node, ast.Attribute) or not _is_private(node.attr):
                continue
            if ast.unparse(node.value) in {"self", "cls"} or node.attr in defined_here:
                continue
            problem = f"uses {ast.unparse(node)}"
            yield Violation(module.path, node.lineno, "private names", problem)


def platform_names_are_in_the_adapter(modules: Sequence[Module]) -> Iterator[Violation]:
    """Names that only the platform uses occur in its adapter and nowhere else."""
    names = {
        value
        for module in modules
        if module.folder == PLATFORM_FOLDER
        for _, value in _string_constants(module)
        if PLATFORM_NAME.search(value)
    }
    for module in modules:
        if module.folder == PLATFORM_FOLDER:
            continue
        for line, value in _string_constants(module):
            if value in names - SHARED_NAMES:
                yield Violation(module.path, line, "platform names", f"says {value!r}")


def _string_constants(module: Module) -> Iterator[tuple[int, str]]:
    for node in ast.walk(module.tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.lineno, node.value


def modules_have_headers(modules: Sequence[Module]) -> Iterator[Violation]:
    """Each module starts with a docstring and the annotations import."""
    rule = "module header"
    for module in modules:
        if not ast.get_docstring(module.tree):
            yield Violation(module.path, 1, rule, "no docstring")
        rest = [n for n in module.tree.body if not isinstance(n, ast.Expr)]
        first = ast.unparse(rest[0]) if rest else ""
        if first != "from __future__ import annotations":
            problem = "does not start with from __future__ import annotations"
            yield Violation(module.path, 1, rule, problem)


RULES: tuple[Rule, ...] = (
    decisions_are_pure,
    no_threads,
    no_polling,
    classes_hold_state,
    classes_are_final,
    mailboxes_are_bounded,
    private_names_are_not_shared,
    platform_names_are_in_the_adapter,
    modules_have_headers,
)


def _imports(module: Module) -> Iterator[tuple[int, str, str]]:
    for node in ast.walk(module.tree):
        if isinstance(node, ast.Import):
            yield from ((node.lineno, alias.name, "") for alias in node.names)
        if isinstance(node, ast.ImportFrom):
            source = "." * node.level + (node.module or "")
            yield from ((node.lineno, source, alias.name) for alias in node.names)


def _calls(tree: ast.AST) -> Iterator[tuple[ast.Call, str]]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Call):
            yield node, _last_name(node.func)


def _last_name(node: ast.expr) -> str:
    if isinstance(node, ast.Subscript | ast.Call):
        return _last_name(node.value if isinstance(node, ast.Subscript) else node.func)
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


def _classes(modules: Sequence[Module]) -> Iterator[tuple[Module, ast.ClassDef]]:
    for module in modules:
        for node in ast.walk(module.tree):
            if isinstance(node, ast.ClassDef):
                yield module, node


def _bases_by_class(modules: Sequence[Module]) -> dict[str, list[str]]:
    return {n.name: [_last_name(b) for b in n.bases] for _, n in _classes(modules)}


def _decorators(node: ast.ClassDef) -> set[str]:
    return {_last_name(decorator) for decorator in node.decorator_list}


def _has_fields(node: ast.ClassDef) -> bool:
    if any(isinstance(part, ast.AnnAssign | ast.Assign) for part in node.body):
        return True
    return any(_is_stored_on_self(part) for part in ast.walk(node))


def _may_be_stateless(node: ast.ClassDef, bases: Mapping[str, list[str]]) -> bool:
    methods = [p for p in node.body if isinstance(p, ast.FunctionDef)]
    if "dataclass" in _decorators(node) and not methods:
        return True
    return _derives(node.name, bases)


def _derives(name: str, bases: Mapping[str, list[str]]) -> bool:
    return name in STATELESS_BASES or any(
        _derives(base, bases) for base in bases.get(name, ()) if base != name
    )


def _is_private(name: str) -> bool:
    return name.startswith("_") and not name.endswith("__") and name != "_"


def _is_stored_on_self(node: ast.AST) -> TypeGuard[ast.Attribute]:
    return (
        isinstance(node, ast.Attribute)
        and isinstance(node.ctx, ast.Store)
        and ast.unparse(node.value) == "self"
    )


def _defined_attributes(tree: ast.AST) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            names.add(node.target.id)
        if _is_stored_on_self(node):
            names.add(node.attr)
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
    return names
