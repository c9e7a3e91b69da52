"""Settings of the daemon: flags and environment variables, declared as a schema and checked."""

from __future__ import annotations

import ipaddress
import os
from collections.abc import Callable
from typing import Any

from absl import flags
from gentianspread_core.errors import ErrorCode, SettingsError
from gentianspread_core.settings import CoreSettings

ENVIRONMENT_PREFIX = "GENTIANSPREAD_"
PORTS = range(1, 65536)
MINIMUM_SECRET_LENGTH = 16


class Option:
    """One setting: its flag, its default and the check that its value must pass.

    The check returns the typed value, or raises `ValueError` with the accepted range.
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

    def define(self) -> None:
        """Define the flag, unless the value is a secret, which comes by the environment only."""
        if not self.is_secret:
            text = f"{self.help} Environment: {self.variable()}."
            flags.DEFINE_string(self.name, None, text)

    def variable(self) -> str:
        """Return the name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    def raw(self) -> str:
        """Return the value of the flag, else of the environment, else the default."""
        if not self.is_secret:
            value = flags.FLAGS[self.name].value
            if value is not None:
                return str(value)
        return os.environ.get(self.variable(), self.default)


def check_name(text: str) -> str:
    """Accept letters, digits, dots, dashes and underscores."""
    if not text or not all(letter.isalnum() or letter in "-_" for letter in text):
        raise ValueError("letters, digits, dashes and underscores, at least one")
    return text


def check_address(text: str) -> str:
    """Accept an IP number and a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        is_valid = int(port) in PORTS
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError("IP:PORT with an IP number and a port from 1 to 65535")
    return text


def check_names(text: str) -> list[str]:
    """Accept names with commas between them."""
    return [check_name(item.strip()) for item in text.split(",") if item.strip()]


def check_seeds(text: str) -> dict[str, str]:
    """Accept NAME=IP:PORT pairs with commas between them."""
    seeds: dict[str, str] = {}
    for item in text.split(","):
        name, separator, address = item.partition("=")
        if not separator:
            raise ValueError("NAME=IP:PORT pairs with commas between them")
        seeds[check_name(name.strip())] = check_address(address.strip())
    return seeds


def check_folder(text: str) -> str:
    """Accept a folder that exists and can be written, or nothing."""
    if text and not (os.path.isdir(text) and os.access(text, os.W_OK)):
        raise ValueError("a folder that exists and can be written, or nothing")
    return text


def check_secret(text: str) -> str:
    """Accept a secret that is long enough."""
    if len(text) < MINIMUM_SECRET_LENGTH:
        raise ValueError(f"at least {MINIMUM_SECRET_LENGTH} characters")
    return text


def number_between(low: float, high: float, unit: str) -> Callable[[str], float]:
    """Return a check that accepts numbers from low to high of a unit."""

    def check(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not low <= value <= high:
            raise ValueError(f"a number from {low:g} to {high:g} {unit}")
        return value

    return check


def check_level(text: str) -> str:
    """Accept a level of the logging library."""
    if text not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        raise ValueError("DEBUG, INFO, WARNING or ERROR")
    return text


SCHEMA = (
    Option("name", "", "Name of this VM, unique in the fleet.", check_name),
    Option("zone", "", "Availability zone of this VM.", check_name),
    Option("zones", "", "All availability zones, with commas between them.", check_names),
    Option("listen", "", "IP:PORT on which this VM serves.", check_address),
    Option("seeds", "", "The first control voters as NAME=IP:PORT pairs.", check_seeds),
    Option("data_dir", "", "Data folder; only VMs with one can vote.", check_folder),
    Option(
        "freshness_s",
        "2.0",
        "Seconds without a quorum's confirmation after which keyed work is refused.",
        number_between(0.5, 30.0, "seconds"),
    ),
    Option(
        "max_callers",
        "5000",
        "The most callers that may be connected to this VM.",
        number_between(1, 100000, "connections"),
    ),
    Option(
        "stop_limit_s",
        "15",
        "Seconds that a planned stop waits for requests and transactions to finish.",
        number_between(1, 600, "seconds"),
    ),
    Option("log_level", "INFO", "Least level that is logged.", check_level),
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
        "Key that operators show.",
        check_secret,
        is_secret=True,
    ),
)


class Settings:
    """The checked settings; durations in seconds."""

    __slots__ = tuple(option.name for option in SCHEMA)

    def __init__(self, values: dict[str, Any]) -> None:
        for option in SCHEMA:
            setattr(self, option.name, values[option.name])

    @classmethod
    def from_config(cls) -> Settings:
        """Read flags and environment; raise one error that lists every fault."""
        values: dict[str, Any] = {}
        faults: list[str] = []
        for option in SCHEMA:
            raw = option.raw()
            try:
                values[option.name] = option.check(raw)
            except ValueError as fault:
                shown = "a secret" if option.is_secret else repr(raw)
                place = option.variable()
                if not option.is_secret:
                    place = f"--{option.name} (or {place})"
                faults.append(f"{place} is {shown}; accepted: {fault}. {option.help}")
        if not faults and values["zone"] not in values["zones"]:
            faults.append("--zones must contain the VM's own --zone; add it to the list.")
        if not faults and values["name"] in values["seeds"] and not values["data_dir"]:
            faults.append("--data_dir is needed by a first voter; name a folder on its disk.")
        if faults:
            raise SettingsError(ErrorCode.INVALID_SETTINGS, "\n".join(faults))
        return cls(values)

    def to_core(self) -> CoreSettings:
        """Return the settings of the decisions."""
        core = CoreSettings(self.name, self.zone, self.listen)
        core.has_disk = bool(self.data_dir)
        core.initial_voters = list(self.seeds)
        core.zones = sorted(self.zones)
        core.max_configuration_age_s = self.freshness_s
        return core


def define_flags() -> None:
    """Define the flag of every option."""
    for option in SCHEMA:
        option.define()
