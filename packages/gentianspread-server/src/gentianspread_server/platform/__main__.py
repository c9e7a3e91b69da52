"""Entry point of the platform's programs; the settings file tells which one to be."""

from __future__ import annotations

import logging
import signal
import sys

import gevent
from gentianspread_core.errors import SettingsError, StorageError

from ..logs import configure_logging
from .bootfile import BootFile
from .vm import PlatformVM

log = logging.getLogger(__name__)

EXIT_SETTINGS = 2
EXIT_STORAGE = 3


def build(boot: BootFile) -> PlatformVM:
    """Return the program that the settings ask for; the other one's modules stay unloaded."""
    if boot.control:
        from .control import ControlVM

        return ControlVM(boot)
    from .entry import EntryVM

    return EntryVM(boot)


def main() -> None:
    """Check the settings, start the program and serve until it is stopped."""
    configure_logging("INFO")
    try:
        boot = BootFile.from_environment()
    except SettingsError as error:
        log.error("%s %s", error.message, error.remedy)
        sys.exit(EXIT_SETTINGS)
    vm = build(boot)
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
