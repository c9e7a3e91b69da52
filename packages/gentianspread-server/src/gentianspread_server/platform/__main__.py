"""Entry point of the platform's programs; the settings file tells which one to be."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import logging  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
from gentianspread_core.errors import SettingsError, StorageError  # noqa: E402

from ..logs import set_up  # noqa: E402
from .bootfile import BootFile  # noqa: E402
from .vms import PlatformVM  # noqa: E402

log = logging.getLogger(__name__)

EXIT_SETTINGS = 2
EXIT_STORAGE = 3


def main() -> None:
    """Check the settings, start the program and serve until it is stopped."""
    set_up("INFO")
    try:
        boot = BootFile.from_environment()
    except SettingsError as error:
        log.error("%s %s", error.message, error.remedy)
        sys.exit(EXIT_SETTINGS)
    vm = PlatformVM.from_boot(boot)
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
