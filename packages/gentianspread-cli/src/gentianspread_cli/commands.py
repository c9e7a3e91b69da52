"""The commands of `gentianspread`."""

from __future__ import annotations

import hashlib
import os
import secrets
from collections.abc import Callable
from typing import Any

from gentianspread_core.errors import ErrorCode, GentianspreadError

from .causes import explain
from .client import OperatorClient
from .logfiles import read_events
from .overload import overload_lines
from .pictures import draw_timeline
from .promotions import promotion_events
from .views import doctor_lines, status_lines, timeline_lines

KEY_BYTES = 24
MIN_KEY_CHARACTERS = 16


class Options:
    """Values of the flags that commands use; each slot is named after its flag."""

    __slots__ = (
        "rate",
        "burst",
        "key_file",
        "expect_revision",
        "yes",
        "limit",
        "workspace",
        "group",
        "vm",
        "kind",
        "request",
        "why",
        "picture",
    )

    def __init__(self, **values: Any) -> None:
        for slot in self.__slots__:
            setattr(self, slot, values.get(slot))


class Report:
    """A command's output as lines of text and as data; `is_healthy` decides the exit code."""

    __slots__ = ("lines", "data", "is_healthy")

    def __init__(self, lines: list[str], data: Any, is_healthy: bool = True) -> None:
        self.lines = lines
        self.data = data
        self.is_healthy = is_healthy


class UsageError(GentianspreadError):
    """Arguments or flags that form no valid command."""


class Command:
    """One command: its name, the names of its arguments, and what it does.

    A command with a `consequence` asks for confirmation. With `needs_fleet` it sends requests to
    VMs, and needs their addresses and the operator key.
    """

    __slots__ = ("name", "arguments", "help", "consequence", "run", "needs_fleet")

    def __init__(
        self,
        name: str,
        arguments: list[str],
        help_text: str,
        run: Callable[[OperatorClient, list[str], Options], Report],
        consequence: str = "",
        needs_fleet: bool = True,
    ) -> None:
        self.needs_fleet = needs_fleet
        self.name = name
        self.arguments = arguments
        self.help = help_text
        self.run = run
        self.consequence = consequence

    def usage(self) -> str:
        """Return the command's name with the names of its arguments."""
        return " ".join([self.name, *self.arguments])


def create_workspace(client: OperatorClient, arguments: list[str], options: Options) -> Report:
    """Create a workspace with its rate and burst."""
    if options.rate is None or options.burst is None:
        raise UsageError(
            ErrorCode.INVALID_SETTINGS,
            "A workspace needs --rate (requests a second) and --burst (requests).",
            remedy="For example: gentianspread workspace create ennis --rate=20 --burst=20",
        )
    fields = {"name": arguments[0], "rate": options.rate, "burst": options.burst}
    outcome = client.change("create_workspace", fields, expected_revision=options.expect_revision)
    return Report([f"Workspace {arguments[0]} is created."], outcome)


def give_key(client: OperatorClient, arguments: list[str], options: Options) -> Report:
    """Give a workspace a key: one from a file, or a new one that is shown only once."""
    key = _key_from_file(options.key_file) if options.key_file else secrets.token_hex(KEY_BYTES)
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    fields = {"workspace": arguments[0], "name": arguments[1], "key_hash": key_hash}
    outcome = client.change("give_key", fields, expected_revision=options.expect_revision)
    lines = [f"Key {arguments[1]} of workspace {arguments[0]} is in force."]
    if not options.key_file:
        lines.append(f"Write it down now, it is not shown again: {key}")
        outcome = {**outcome, "key": key}
    return Report(lines, outcome)


def withdraw_key(client: OperatorClient, arguments: list[str], options: Options) -> Report:
    """Withdraw a key permanently."""
    outcome = client.change(
        "withdraw_key", {"name": arguments[0]}, expected_revision=options.expect_revision
    )
    line = f"Key {arguments[0]} is withdrawn; it stops working on every VM within 3 seconds."
    return Report([line], outcome)


def switch_preset(client: OperatorClient, arguments: list[str], options: Options) -> Report:
    """Switch the preset."""
    outcome = client.change(
        "switch_preset", {"preset": arguments[0]}, expected_revision=options.expect_revision
    )
    return Report([f"The preset is now {arguments[0]}."], outcome)


def open_route(client: OperatorClient, arguments: list[str], options: Options) -> Report:
    """Open a route that serves reads of a group to all callers, without a key."""
    fields = {"name": arguments[0], "group": arguments[1]}
    outcome = client.change("open_route", fields, expected_revision=options.expect_revision)
    return Report([f"Route {arguments[0]} serves reads of {arguments[1]} to all callers."], outcome)


def drain(client: OperatorClient, arguments: list[str], options: Options) -> Report:
    """Make a VM finish its work and stop."""
    fields = {"name": arguments[0], "draining": True}
    outcome = client.change("drain_member", fields, expected_revision=options.expect_revision)
    return Report([f"VM {arguments[0]} accepts no new callers and stops once it is idle."], outcome)


def undrain(client: OperatorClient, arguments: list[str], options: Options) -> Report:
    """Allow a drained VM to serve again once it is started."""
    fields = {"name": arguments[0], "draining": False}
    outcome = client.change("drain_member", fields, expected_revision=options.expect_revision)
    return Report([f"VM {arguments[0]} may serve; start its process."], outcome)


def status(client: OperatorClient, arguments: list[str], options: Options) -> Report:
    """Show the fleet's status."""
    data = client.status()
    return Report(status_lines(data), data)


def doctor(client: OperatorClient, arguments: list[str], options: Options) -> Report:
    """Show problems and their remedies."""
    data = client.status()
    lines, is_healthy = doctor_lines(data)
    return Report(lines, {"healthy": is_healthy, "findings": lines}, is_healthy)


def timeline(client: OperatorClient, arguments: list[str], options: Options) -> Report:
    """Show the events of all VMs in order, or one event with its causes."""
    events = client.merged_timeline()
    if options.why:
        chain = explain(events, options.why)
        return Report(timeline_lines(chain) or [f"Nothing is known of {options.why}."], chain)
    events = [event for event in events if _matches_filters(event, options)]
    if options.picture:
        draw_timeline(events, options.picture)
        return Report(
            [f"The picture was written to {options.picture}."], {"picture": options.picture}
        )
    events = events[-options.limit :] if options.limit else events
    return Report(timeline_lines(events), events)


def explain_request(
    client: OperatorClient | None, arguments: list[str], options: Options
) -> Report:
    """Show from collected logs what happened to a request, and why."""
    events = read_events(arguments[1])
    chain = explain(events, f"request {arguments[0]}")
    about_request = [event for event in events if event["subject"] == f"request {arguments[0]}"]
    promotions = promotion_events(events, about_request)
    chosen = {id(event): event for event in [*chain, *promotions, *about_request]}
    shown = sorted(chosen.values(), key=_wall_ms)
    lines = timeline_lines(shown) or [f"Nothing is known of {arguments[0]}."]
    if about_request:
        lines = [*lines, *overload_lines(events, about_request[-1])]
    return Report(lines, shown)


def _wall_ms(event: dict[str, Any]) -> int:
    return event["wall_ms"]


def _matches_filters(event: dict[str, Any], options: Options) -> bool:
    details = event["details"]
    filters = (
        (options.vm, event["member"]),
        (options.kind, event["kind"]),
        (options.workspace, details.get("workspace", "")),
        (options.request, event["subject"].removeprefix("request ")),
    )
    if any(value and value != actual for value, actual in filters):
        return False
    groups = (details.get("group", ""), event["subject"].removeprefix("group "))
    return not options.group or options.group in groups


def _key_from_file(path: str) -> str:
    try:
        with open(os.path.expanduser(path), encoding="utf-8") as file:
            key = file.read().strip()
    except OSError as error:
        raise UsageError(
            ErrorCode.INVALID_SETTINGS,
            f"{path}: {error.strerror}.",
            remedy="Give the path of a file that contains the key.",
        ) from None
    if len(key) < MIN_KEY_CHARACTERS:
        raise UsageError(
            ErrorCode.INVALID_SETTINGS,
            f"The key in {path} is too short.",
            remedy=f"Use at least {MIN_KEY_CHARACTERS} characters.",
        )
    return key


COMMANDS = (
    Command("status", [], "Show the fleet's status.", status),
    Command("doctor", [], "Show problems and their remedies.", doctor),
    Command("timeline", [], "Show the events of all VMs in order.", timeline),
    Command(
        "explain",
        ["REQUEST_ID", "LOGS"],
        "Show from a log file or folder why a request failed.",
        explain_request,
        needs_fleet=False,
    ),
    Command("workspace create", ["NAME"], "Create a workspace.", create_workspace),
    Command("key give", ["WORKSPACE", "KEY_NAME"], "Give a workspace a key.", give_key),
    Command(
        "key withdraw",
        ["KEY_NAME"],
        "Withdraw a key permanently.",
        withdraw_key,
        "Callers with this key are refused within 3 seconds, and their open transactions end.",
    ),
    Command("preset switch", ["PRESET"], "Switch to ordinary, peak or maintenance.", switch_preset),
    Command("route open", ["NAME", "GROUP"], "Serve reads of a group to all callers.", open_route),
    Command(
        "vm drain",
        ["VM"],
        "Make a VM finish its work and stop.",
        drain,
        "The VM stops; the other VMs must serve its callers.",
    ),
    Command("vm undrain", ["VM"], "Allow a drained VM to serve again.", undrain),
)


def find_command(words: list[str]) -> tuple[Command, list[str]]:
    """Return the command that a command line names, and its arguments."""
    for command in COMMANDS:
        name_words = command.name.split()
        if words[: len(name_words)] == name_words:
            arguments = words[len(name_words) :]
            if len(arguments) == len(command.arguments):
                return command, arguments
            raise UsageError(
                ErrorCode.INVALID_SETTINGS,
                f"Expected: gentianspread {command.usage()}",
                remedy="Give exactly these arguments.",
            )
    known = ", ".join(command.name for command in COMMANDS)
    raise UsageError(
        ErrorCode.INVALID_SETTINGS,
        f"Unknown command: {' '.join(words) or '(none)'}.",
        remedy=f"Use one of: {known}.",
    )
