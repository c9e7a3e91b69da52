"""Entry point of the platform's programs; the settings file decides which one runs."""

from __future__ import annotations

import signal

# By default the signal ends the process. The settings are read later, so nothing is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import logging  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
from gentianspread_core.errors import SettingsError, StorageError  # noqa: E402

from ..logs import configure_logging  # noqa: E402
from ..resources.allocator import return_long_blocks  # noqa: E402
from .bootfile import PlatformSettings  # noqa: E402
from .vm import PlatformVM  # noqa: E402

log = logging.getLogger(__name__)

EXIT_SETTINGS = 2
EXIT_STORAGE = 3


def build_vm(settings: PlatformSettings) -> PlatformVM:
    """Return a control VM or an entry VM; the modules of the other one are not loaded."""
    if settings.control_address:
        from .control import ControlVM

        return ControlVM(settings)
    from .entry import EntryVM

    return EntryVM(settings)


def main() -> None:
    """Check the settings, start the program and serve until it is stopped."""
    configure_logging("INFO")
    return_long_blocks()
    try:
        settings = PlatformSettings.from_environment()
    except SettingsError as error:
        log.error("%s %s", error.message, error.remedy)
        sys.exit(EXIT_SETTINGS)
    vm = build_vm(settings)
    gevent.signal_handler(signal.SIGTERM, vm.stop)
    gevent.signal_handler(signal.SIGINT, vm.stop)
    gevent.signal_handler(signal.SIGHUP, vm.reload)
    try:
        vm.run()
    except StorageError as error:
        log.error("%s %s", error.message, error.remedy)
        sys.exit(EXIT_STORAGE)


if __name__ == "__main__":
    main()
