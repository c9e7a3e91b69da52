"""The platform's settings file: lines of NAME=VALUE; the items of lists are separated by commas."""

from __future__ import annotations

import os

from gentianspread_core.errors import ErrorCode, SettingsError
from gentianspread_core.settings import CoreSettings, RateTolerance, WarmupTolerance

SETTINGS_PATH_VARIABLE = "GENTIANSPREAD_BOOT"
CONFIGURATION_AGE_FRACTION = 0.76  # of the key withdrawal limit; the rest covers clock error
DEFAULT_KEY_WITHDRAWAL_LIMIT_MS = 5000.0
VOTER_LOSS_TIMEOUT_S = 2.0  # short, so that a lost voter is replaced before another one fails
ELECTION_TIMEOUT_S = 0.6  # six heartbeat intervals
TRUE = "true"
PRIORITY_CONTRACT = "pressure"
# Where callers compete for capacity, an even flow serves them better than bursts; the rest of the
# burst covers the chance arrivals of a workspace within its rate.
STEADY_BURST_FRACTION = 0.6
BYTES_PER_MB = 1024 * 1024


class PlatformSettings:
    """The checked settings of one process.

    `seeds` are addresses of control VMs. `control_address`, `caller_address` and
    `readiness_address` are addresses to listen on, empty if this process does not serve them.
    `is_first_start` is set only when the whole fleet starts for the first time. `max_lost_voters`
    is how many voters may be lost at once, `rate_tolerance` how far rates may be exceeded. After
    `grace_period_s` a stopping process is killed. `first_port` is the first port that the process
    may use, or 0. `regions` gives the region of each zone, `evacuation_timeout_s` is 0 if zones are
    never evacuated. `size` is the processor capacity in cores. The process is killed if it uses
    more than `memory_bytes`, and has `max_descriptors`; both are 0 if not limited.
    """

    __slots__ = (
        "path",
        "name",
        "ip_address",
        "zone",
        "zones",
        "seeds",
        "control_address",
        "caller_address",
        "readiness_address",
        "data_dir",
        "is_first_start",
        "max_lost_voters",
        "grace_period_s",
        "max_configuration_age_s",
        "rate_tolerance",
        "platform_service_address",
        "first_port",
        "regions",
        "evacuation_timeout_s",
        "warmup_tolerance",
        "schedules_by_priority",
        "size",
        "memory_bytes",
        "max_descriptors",
    )

    def __init__(self, path: str, values: dict[str, str]) -> None:
        self.path = path
        self.name = values["nodeName"]
        self.ip_address = values["ip"]
        self.zone = values["zone"]
        prefix = "zones."
        self.regions = {
            key.removeprefix(prefix): value
            for key, value in values.items()
            if key.startswith(prefix)
        }
        self.zones = sorted(self.regions)
        self.seeds = _split_list(values.get("seedNodes", ""))
        self.control_address = values.get("listenAddrs.control", "")
        self.caller_address = values.get("listenAddrs.front", "")
        self.readiness_address = values.get("listenAddrs.ready", "")
        self.data_dir = values.get("dataDir", "")
        self.is_first_start = values.get("bootstrap", "") == TRUE
        self.max_lost_voters = int(values.get("faultTolerance.machines", "1"))
        self.grace_period_s = float(values.get("bounds.graceS", "6"))
        key_withdrawal_limit_ms = float(
            values.get("bounds.revokeMs", DEFAULT_KEY_WITHDRAWAL_LIMIT_MS)
        )
        self.max_configuration_age_s = CONFIGURATION_AGE_FRACTION * key_withdrawal_limit_ms / 1000
        self.schedules_by_priority = PRIORITY_CONTRACT in _split_list(values.get("contracts", ""))
        self.rate_tolerance = RateTolerance(
            float(values.get("bounds.quotaWindowS", "0")),
            float(values.get("bounds.quotaOverage", "0")),
            float(values.get("bounds.quotaSlack", "0")),
            STEADY_BURST_FRACTION if self.schedules_by_priority else 0.0,
        )
        self.platform_service_address = values.get("cloudApi.address", "")
        self.first_port = int(values.get("portRange", "0,0").partition(",")[0])
        self.evacuation_timeout_s = float(values.get("bounds.evacuateMs", "0")) / 1000
        self.warmup_tolerance = WarmupTolerance(
            float(values.get("bounds.coldOverage", "1")), float(values.get("bounds.coldSlack", "0"))
        )
        cores = float(values.get("limits.cores", "1"))
        self.size = cores * float(values.get("limits.cpuShare", "1"))
        self.memory_bytes = int(float(values.get("limits.memoryMb", "0")) * BYTES_PER_MB)
        self.max_descriptors = int(values.get("limits.maxFds", "0"))

    @classmethod
    def from_environment(cls) -> PlatformSettings:
        """Read and check the file that the environment variable names."""
        path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
        if not path:
            raise SettingsError(
                ErrorCode.INVALID_SETTINGS,
                f"{SETTINGS_PATH_VARIABLE} is not set; set it to the path of the settings file.",
            )
        return cls.from_file(path)

    @classmethod
    def from_file(cls, path: str) -> PlatformSettings:
        """Read and check a settings file."""
        try:
            with open(path, encoding="utf-8") as file:
                values = _parse_values(file.read())
            return cls(path, values)
        except OSError as error:
            raise SettingsError(ErrorCode.INVALID_SETTINGS, f"{path}: {error}.") from error
        except (KeyError, ValueError) as error:
            raise SettingsError(
                ErrorCode.INVALID_SETTINGS, f"{path}: the setting {error} is missing or invalid."
            ) from error

    def member_name(self) -> str:
        """Return this VM's name as a member: the control address of a control VM, or its name."""
        return self.control_address or self.name

    def peer_address(self) -> str:
        """Return the address at which other VMs reach a VM that serves callers, or an empty one."""
        return f"{self.ip_address}:{self.first_port}" if self.first_port else ""

    def to_core(self) -> CoreSettings:
        """Return the settings of the core."""
        core = CoreSettings(
            self.member_name(), self.zone, self.control_address or self.peer_address()
        )
        core.has_disk = bool(self.data_dir)
        core.zones = self.zones
        core.seeds = list(self.seeds)
        core.initial_voters = list(self.seeds) if self.is_first_start else []
        core.voter_count = 2 * self.max_lost_voters + 1
        core.records_initial_voters = True
        core.registers_diskless_members = False
        core.max_configuration_age_s = self.max_configuration_age_s
        core.rate_tolerance = self.rate_tolerance
        core.voter_loss_timeout_s = VOTER_LOSS_TIMEOUT_S
        core.election_timeout_s = ELECTION_TIMEOUT_S
        core.regions = self.regions
        core.evacuation_timeout_s = self.evacuation_timeout_s
        core.warmup_tolerance = self.warmup_tolerance
        core.schedules_by_priority = self.schedules_by_priority
        core.size = self.size
        return core


def _parse_values(text: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            values[name.strip()] = value.strip()
    return values


def _split_list(text: str) -> list[str]:
    return [item.strip() for item in text.split(",") if item.strip()]
