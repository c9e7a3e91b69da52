"""The daemon's settings: a schema of options, read from flags and environment variables."""

from __future__ import annotations

import ipaddress
import os
from collections.abc import Callable
from typing import Any

from absl import flags
from gentianspread_core.errors import ErrorCode, SettingsError
from gentianspread_core.settings import CoreSettings

ENVIRONMENT_PREFIX = "GENTIANSPREAD_"
VALID_PORTS = range(1, 65536)
MIN_SECRET_CHARS = 16


class Option:
    """One setting: its flag, its default value and the function that validates it.

    `check` returns the typed value, or raises `ValueError` with a description of valid values.
    """

    __slots__ = ("name", "default", "help", "check", "is_secret")

    def __init__(
        self,
        name: str,
        default: str,
        help_text: str,
        check: Callable[[str], Any],
        is_secret: bool = False,
    ) -> None:
        self.name = name
        self.default = default
        self.help = help_text
        self.check = check
        self.is_secret = is_secret

    def define_flag(self) -> None:
        """Define the flag; a secret has none and is read from the environment only."""
        if not self.is_secret:
            text = f"{self.help} Environment: {self.environment_variable()}."
            flags.DEFINE_string(self.name, None, text)

    def environment_variable(self) -> str:
        """Return the name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    def read_raw(self) -> str:
        """Return the flag's value, else the environment variable's, else the default."""
        if not self.is_secret:
            value = flags.FLAGS[self.name].value
            if value is not None:
                return str(value)
        return os.environ.get(self.environment_variable(), self.default)


def check_name(text: str) -> str:
    """Accept letters, digits, dashes and underscores."""
    if not text or not all(letter.isalnum() or letter in "-_" for letter in text):
        raise ValueError("letters, digits, dashes and underscores, at least one")
    return text


def check_address(text: str) -> str:
    """Accept an IP address and a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        is_valid = int(port) in VALID_PORTS
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError("IP:PORT with a numeric IP address and a port from 1 to 65535")
    return text


def check_names(text: str) -> list[str]:
    """Accept comma-separated names."""
    return [check_name(item.strip()) for item in text.split(",") if item.strip()]


def check_seeds(text: str) -> dict[str, str]:
    """Accept comma-separated NAME=IP:PORT pairs."""
    seeds: dict[str, str] = {}
    for item in text.split(","):
        name, separator, address = item.partition("=")
        if not separator:
            raise ValueError("comma-separated NAME=IP:PORT pairs")
        seeds[check_name(name.strip())] = check_address(address.strip())
    return seeds


def check_folder(text: str) -> str:
    """Accept an existing, writable folder or an empty value."""
    if text and not (os.path.isdir(text) and os.access(text, os.W_OK)):
        raise ValueError("an existing, writable folder, or empty")
    return text


def check_secret(text: str) -> str:
    """Accept a secret that is long enough."""
    if len(text) < MIN_SECRET_CHARS:
        raise ValueError(f"at least {MIN_SECRET_CHARS} characters")
    return text


def check_number_between(low: float, high: float, unit: str) -> Callable[[str], float]:
    """Return a check that accepts numbers from `low` to `high`, both included."""

    def check(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not low <= value <= high:
            raise ValueError(f"a number from {low:g} to {high:g} {unit}")
        return value

    return check


def check_log_level(text: str) -> str:
    """Accept the name of a log level."""
    if text not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        raise ValueError("DEBUG, INFO, WARNING or ERROR")
    return text


SCHEMA = (
    Option("name", "", "Name of this VM, unique in the fleet.", check_name),
    Option("zone", "", "Availability zone of this VM.", check_name),
    Option("zones", "", "All availability zones, comma-separated.", check_names),
    Option("listen", "", "IP:PORT on which this VM listens.", check_address),
    Option(
        "seeds",
        "",
        "Initial voters of the control log, as comma-separated NAME=IP:PORT pairs.",
        check_seeds,
    ),
    Option(
        "data_dir",
        "",
        "Folder for the control log; only a VM that has one can be a voter.",
        check_folder,
    ),
    Option(
        "freshness_s",
        "2.0",
        "Seconds without confirmation by a quorum after which requests with a key are refused.",
        check_number_between(0.5, 30.0, "seconds"),
    ),
    Option(
        "max_callers",
        "5000",
        "Maximum number of open connections to this VM.",
        check_number_between(1, 100000, "connections"),
    ),
    Option(
        "stop_limit_s",
        "15",
        "Seconds that a graceful shutdown waits for requests and transactions to finish.",
        check_number_between(1, 600, "seconds"),
    ),
    Option("log_level", "INFO", "Lowest log level that is written.", check_log_level),
    Option(
        "fleet_secret",
        "",
        "Secret that signs session tokens and messages between VMs.",
        check_secret,
        is_secret=True,
    ),
    Option(
        "operator_key",
        "",
        "Key that operators authenticate with.",
        check_secret,
        is_secret=True,
    ),
)


class Settings:
    """The validated settings; durations are in seconds."""

    __slots__ = tuple(option.name for option in SCHEMA)

    def __init__(self, values: dict[str, Any]) -> None:
        for option in SCHEMA:
            setattr(self, option.name, values[option.name])

    @classmethod
    def from_config(cls) -> Settings:
        """Read and validate all options; raises one `SettingsError` that lists every problem."""
        values: dict[str, Any] = {}
        problems: list[str] = []
        for option in SCHEMA:
            raw_value = option.read_raw()
            try:
                values[option.name] = option.check(raw_value)
            except ValueError as reason:
                shown = "a secret" if option.is_secret else repr(raw_value)
                source = option.environment_variable()
                if not option.is_secret:
                    source = f"--{option.name} (or {source})"
                problems.append(f"{source} is {shown}; expected {reason}. {option.help}")
        if not problems and values["zone"] not in values["zones"]:
            problems.append("--zones must contain the VM's own --zone; add it to the list.")
        if not problems and values["name"] in values["seeds"] and not values["data_dir"]:
            problems.append(
                "--data_dir is required on a VM listed in --seeds; set it to a folder on its disk."
            )
        if problems:
            raise SettingsError(ErrorCode.INVALID_SETTINGS, "\n".join(problems))
        return cls(values)

    def to_core(self) -> CoreSettings:
        """Return the settings for the core."""
        core = CoreSettings(self.name, self.zone, self.listen)
        core.has_disk = bool(self.data_dir)
        core.seeds = list(self.seeds)
        core.initial_voters = list(self.seeds)
        core.zones = sorted(self.zones)
        core.max_configuration_age_s = self.freshness_s
        return core


def define_flags() -> None:
    """Define the flag of every option."""
    for option in SCHEMA:
        option.define_flag()
