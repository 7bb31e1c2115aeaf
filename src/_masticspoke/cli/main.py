"""Arguments and exit codes of the command ``masticspoke``."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from importlib.metadata import version
from pathlib import Path

from _masticspoke.cli.catalogue import apply_catalogue
from _masticspoke.cli.catalogue import check_catalogue
from _masticspoke.cli.catalogue import show_catalogue
from _masticspoke.cli.catalogue import show_history
from _masticspoke.cli.explain import explain_request
from _masticspoke.cli.node import start_node
from _masticspoke.cli.status import show_status
from _masticspoke.errors import MasticspokeError


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    options = _parser().parse_args(arguments)
    try:
        code: int = options.command(options)
    except MasticspokeError as error:
        print(f"masticspoke: {error}", file=sys.stderr)
        return error.exit_code
    return code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="masticspoke", description="Overload control for service call graphs."
    )
    parser.add_argument("--version", action="version", version=version("masticspoke"))
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    node = commands.add_parser("node", help="run the node beside a backend server")
    node.add_argument("settings", type=Path, help="INI file")
    node.set_defaults(command=start_node)
    status = commands.add_parser(
        "status", help="show a node's catalogue version and members"
    )
    status.add_argument("node", help="peer address, IP:PORT")
    status.add_argument(
        "--all", action="store_true", help="also ask every other node that it knows"
    )
    status.add_argument("--json", action="store_true", help="print JSON")
    status.set_defaults(command=show_status)
    explain = commands.add_parser("explain", help="explain the outcome of a request")
    explain.add_argument("id", help="the request's id")
    explain.add_argument("files", nargs="+", type=Path, help="log files of nodes")
    explain.set_defaults(command=explain_request)
    _add_catalogue(
        commands.add_parser("catalogue", help="check or change the catalogue")
    )
    return parser


def _add_catalogue(parser: argparse.ArgumentParser) -> None:
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    check = commands.add_parser("check", help="report every fault in a catalogue file")
    check.add_argument("file", type=Path)
    check.set_defaults(command=check_catalogue)
    apply = commands.add_parser("apply", help="put a catalogue file in force")
    apply.add_argument("file", type=Path)
    apply.add_argument("--log", required=True, help="log service, IP:PORT")
    apply.add_argument(
        "--made-from",
        type=int,
        metavar="VERSION",
        help="version that the file was edited from; the default is the one in force",
    )
    apply.add_argument("--author", help="who made the change; default: the user")
    apply.add_argument("--json", action="store_true", help="print JSON")
    apply.set_defaults(command=apply_catalogue)
    show = commands.add_parser("show", help="print the catalogue in force")
    source = show.add_mutually_exclusive_group(required=True)
    source.add_argument("--log", help="log service, IP:PORT")
    source.add_argument("--node", help="peer address of a node, IP:PORT")
    show.add_argument("--json", action="store_true", help="print JSON")
    show.set_defaults(command=show_catalogue)
    history = commands.add_parser(
        "history", help="list changes, or show the outcome of one"
    )
    history.add_argument("--log", required=True, help="log service, IP:PORT")
    history.add_argument("--change", metavar="ID", help="only this change")
    history.add_argument("--json", action="store_true", help="print JSON lines")
    history.set_defaults(command=show_history)
