"""Entry point of the operators' command-line tool."""

from __future__ import annotations

import os
import sys

import orjson
from absl import app, flags
from gentianspread_core.errors import ErrorCode, ExecutionResult, GentianspreadError

from .client import OperatorClient
from .commands import COMMANDS, Command, Options, Report, UsageError, find_command

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_OUTCOME_UNKNOWN = 3
EXIT_UNHEALTHY = 4
OPERATOR_KEY_VARIABLE = "GENTIANSPREAD_OPERATOR_KEY"
VMS_VARIABLE = "GENTIANSPREAD_VMS"

EXAMPLES = """
Examples:
  gentianspread status
  gentianspread workspace create ennis --rate=20 --burst=20
  gentianspread key give ennis ennis-vans
  gentianspread preset switch peak
  gentianspread timeline --group=visits --limit=20

The operator key is read from GENTIANSPREAD_OPERATOR_KEY or from --operator_key_file.
"""

flags.DEFINE_list("vms", None, f"IP:PORT of VMs to send requests to. Environment: {VMS_VARIABLE}.")
flags.DEFINE_string("operator_key_file", None, "File that contains the operator key.")
flags.DEFINE_boolean("json", False, "Print JSON instead of lines.")
flags.DEFINE_boolean("yes", False, "Do not ask before changes that cannot be undone.")
flags.DEFINE_float("rate", None, "Requests a second of a new workspace.", lower_bound=0.001)
flags.DEFINE_float("burst", None, "Burst of a new workspace, in requests.", lower_bound=1.0)
flags.DEFINE_string("key_file", None, "File that contains the key to give. Default: a new key.")
flags.DEFINE_integer(
    "expect_revision", None, "Refuse the change if the operator revision is not this one."
)
flags.DEFINE_integer("limit", 100, "Maximum number of events to show; 0 shows all.", lower_bound=0)
flags.DEFINE_string("workspace", None, "Show events of this workspace.")
flags.DEFINE_string("group", None, "Show events of this database group.")
flags.DEFINE_string("vm", None, "Show events of this VM.")
flags.DEFINE_string("kind", None, "Show events of this kind.")
flags.DEFINE_string("picture", None, "Write a picture of the timeline to this file.")
flags.DEFINE_string("why", None, "Show the causes of the newest event about this subject.")
flags.DEFINE_string("request", None, "Show events of this request id.")


def main(arguments: list[str]) -> None:
    """Run one command and exit with its code."""
    try:
        report = _run_command(arguments[1:])
    except GentianspreadError as error:
        _print_error(error)
        sys.exit(_exit_code(error))
    _print_report(report)
    if not report.is_healthy:
        sys.exit(EXIT_UNHEALTHY)


def run() -> None:
    """Parse the flags and run `main`."""
    flags.FLAGS.set_gnu_getopt(True)
    flags.FLAGS.set_default("verbosity", -1)
    sys.modules["__main__"].__doc__ = _help_text()
    app.run(main)


def _help_text() -> str:
    lines = ["Runs a gentianspread fleet.", "", "Commands:"]
    lines += [f"  {command.usage():<34} {command.help}" for command in COMMANDS]
    return "\n".join(lines) + "\n" + EXAMPLES


def _run_command(words: list[str]) -> Report:
    command, arguments = find_command(words)
    values = flags.FLAGS
    options = Options(**{name: values[name].value for name in Options.__slots__ if name in values})
    client = OperatorClient(_operator_key(), _vm_addresses()) if command.needs_fleet else None
    _confirm(command)
    return command.run(client, arguments, options)


def _confirm(command: Command) -> None:
    if not command.consequence or flags.FLAGS.yes:
        return
    sys.stderr.write(f"{command.consequence}\nType yes to continue: ")
    sys.stderr.flush()
    if sys.stdin.readline().strip() != "yes":
        raise UsageError(
            ErrorCode.INVALID_SETTINGS, "Nothing was changed.", remedy="Type yes, or give --yes."
        )


def _operator_key() -> str:
    path = flags.FLAGS.operator_key_file
    if path:
        try:
            with open(path, encoding="utf-8") as file:
                return file.read().strip()
        except OSError as error:
            raise UsageError(
                ErrorCode.INVALID_SETTINGS,
                f"--operator_key_file {path}: {error.strerror}.",
                remedy="Give the path of a readable file.",
            ) from None
    key = os.environ.get(OPERATOR_KEY_VARIABLE, "")
    if not key:
        raise UsageError(
            ErrorCode.INVALID_SETTINGS,
            "The operator key is not set.",
            remedy=f"Set {OPERATOR_KEY_VARIABLE}, or give --operator_key_file.",
        )
    return key


def _vm_addresses() -> list[str]:
    vms = flags.FLAGS.vms or os.environ.get(VMS_VARIABLE, "").split(",")
    vms = [item.strip() for item in vms if item.strip()]
    if not vms:
        raise UsageError(
            ErrorCode.INVALID_SETTINGS,
            "No VM address is given.",
            remedy=f"Give --vms=IP:PORT,... or set {VMS_VARIABLE}.",
        )
    return vms


def _print_report(report: Report) -> None:
    if flags.FLAGS.json:
        sys.stdout.write(orjson.dumps(report.data).decode() + "\n")
    else:
        sys.stdout.write("\n".join(report.lines) + "\n")


def _print_error(error: GentianspreadError) -> None:
    if flags.FLAGS.json:
        content = {
            "code": error.code.value,
            "result": error.result.value,
            "message": error.message,
            "remedy": error.remedy,
        }
        sys.stdout.write(orjson.dumps(content).decode() + "\n")
    sys.stderr.write(f"{error.message}\n{error.remedy}\n")


def _exit_code(error: GentianspreadError) -> int:
    if isinstance(error, UsageError):
        return EXIT_USAGE
    if error.result is ExecutionResult.UNKNOWN:
        return EXIT_OUTCOME_UNKNOWN
    return EXIT_REFUSED


if __name__ == "__main__":
    run()
