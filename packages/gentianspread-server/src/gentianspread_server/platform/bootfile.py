"""The settings file of the platform: lines of NAME=VALUE, lists with commas between the items."""

from __future__ import annotations

import os

from gentianspread_core.errors import ErrorCode, SettingsError
from gentianspread_core.settings import CoreSettings, RateTolerance

PATH_VARIABLE = "GENTIANSPREAD_BOOT"
FRESHNESS_SHARE = 0.76  # of the time in which a withdrawn key must stop; the rest covers clocks
DEFAULT_REVOKE_MS = 5000.0  # milliseconds; where the file names no bound
LOST_VOTER_S = 2.0  # seconds; a lost voter is replaced before a second loss must be borne
ELECTION_TIMEOUT_S = 0.6  # seconds; six heartbeats
TRUE = "true"


class BootFile:
    """The checked settings of one process; durations in seconds.

    `seeds` are control addresses, `control`, `callers` and `ready` addresses to listen on, empty
    where the role does not serve them. `is_first_start` holds only when the whole fleet starts for
    the first time. `losses_borne` is how many VMs with a disk may be lost at once, `rate_tolerance`
    how far rates may be exceeded.
    """

    __slots__ = (
        "path",
        "name",
        "address",
        "zone",
        "zones",
        "seeds",
        "control",
        "callers",
        "ready",
        "data_dir",
        "is_first_start",
        "losses_borne",
        "stop_limit",
        "max_configuration_age_s",
        "rate_tolerance",
        "calls_address",
        "first_port",
    )

    def __init__(self, path: str, values: dict[str, str]) -> None:
        self.path = path
        self.name = values["nodeName"]
        self.address = values["ip"]
        self.zone = values["zone"]
        prefix = "zones."
        self.zones = sorted(key[len(prefix) :] for key in values if key.startswith(prefix))
        self.seeds = _list(values.get("seedNodes", ""))
        self.control = values.get("listenAddrs.control", "")
        self.callers = values.get("listenAddrs.front", "")
        self.ready = values.get("listenAddrs.ready", "")
        self.data_dir = values.get("dataDir", "")
        self.is_first_start = values.get("bootstrap", "") == TRUE
        self.losses_borne = int(values.get("faultTolerance.machines", "1"))
        self.stop_limit = float(values.get("bounds.graceS", "6"))
        revoke_ms = float(values.get("bounds.revokeMs", DEFAULT_REVOKE_MS))
        self.max_configuration_age_s = FRESHNESS_SHARE * revoke_ms / 1000
        self.rate_tolerance = RateTolerance(
            float(values.get("bounds.quotaWindowS", "0")),
            float(values.get("bounds.quotaOverage", "0")),
            float(values.get("bounds.quotaSlack", "0")),
        )
        self.calls_address = values.get("cloudApi.address", "")
        self.first_port = int(values.get("portRange", "0,0").partition(",")[0])

    @classmethod
    def from_environment(cls) -> BootFile:
        """Read the file that the environment names."""
        path = os.environ.get(PATH_VARIABLE, "")
        if not path:
            raise SettingsError(
                ErrorCode.INVALID_SETTINGS,
                f"{PATH_VARIABLE} names no settings file; set it to one.",
            )
        return cls.from_file(path)

    @classmethod
    def from_file(cls, path: str) -> BootFile:
        """Read and check a settings file."""
        try:
            with open(path, encoding="utf-8") as file:
                values = _parse(file.read())
            return cls(path, values)
        except OSError as error:
            raise SettingsError(ErrorCode.INVALID_SETTINGS, f"{path}: {error}.") from error
        except (KeyError, ValueError) as error:
            raise SettingsError(
                ErrorCode.INVALID_SETTINGS, f"{path}: the setting {error} is missing or unreadable."
            ) from error

    def member(self) -> str:
        """Return this VM's name in the fleet: control VMs are known by their address."""
        return self.control or self.name

    def peer_address(self) -> str:
        """Return the address at which the other VMs reach one that serves callers."""
        return f"{self.address}:{self.first_port}" if self.first_port else ""

    def to_core(self) -> CoreSettings:
        """Return the settings of the decisions."""
        core = CoreSettings(self.member(), self.zone, self.control or self.peer_address())
        core.has_disk = bool(self.data_dir)
        core.zones = self.zones
        core.initial_voters = list(self.seeds) if self.is_first_start else []
        core.voter_count = 2 * self.losses_borne + 1
        core.records_initial_voters = True
        core.registers_diskless_members = False
        core.max_configuration_age_s = self.max_configuration_age_s
        core.rate_tolerance = self.rate_tolerance
        core.voter_loss_timeout_s = LOST_VOTER_S
        core.election_timeout_s = ELECTION_TIMEOUT_S
        return core


def _parse(text: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            values[name.strip()] = value.strip()
    return values


def _list(text: str) -> list[str]:
    return [item.strip() for item in text.split(",") if item.strip()]
