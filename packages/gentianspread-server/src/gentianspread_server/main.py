"""Entry point of the daemon."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import logging  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
from absl import app, flags  # noqa: E402
from gentianspread_core.errors import SettingsError, StorageError  # noqa: E402

from .logs import configure_logging  # noqa: E402
from .settings import Settings, define_flags  # noqa: E402
from .vm import VM  # noqa: E402

log = logging.getLogger(__name__)

EXIT_SETTINGS = 2
EXIT_STORAGE = 3


def main(arguments: list[str]) -> None:
    """Validate the settings, start the VM and serve until it is stopped."""
    if len(arguments) > 1:
        sys.stderr.write(f"Unknown argument {arguments[1]}; settings are flags, see --help.\n")
        sys.exit(EXIT_SETTINGS)
    try:
        settings = Settings.from_config()
    except SettingsError as error:
        sys.stderr.write(f"{error.message}\n{error.remedy}\n")
        sys.exit(EXIT_SETTINGS)
    configure_logging(settings.log_level)
    vm = VM.from_config(settings)
    gevent.signal_handler(signal.SIGTERM, vm.stop)
    gevent.signal_handler(signal.SIGINT, vm.stop)
    try:
        vm.run()
    except StorageError as error:
        sys.stderr.write(f"{error.message}\n{error.remedy}\n")
        sys.exit(EXIT_STORAGE)


def run() -> None:
    """Run the daemon from the command line."""
    define_flags()
    flags.FLAGS.set_gnu_getopt(True)
    app.run(main)


if __name__ == "__main__":
    run()
