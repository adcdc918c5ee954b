"""Answer callers on the users' platform.

Usage:
  clementinewall-gateway [--settings=FILE] [--metrics-port=PORT] [--check]
  clementinewall-gateway --help

Options:
  --settings=FILE  The settings that the platform wrote; by default the file
                   that its environment variable names.
  --metrics-port=PORT  Where /metrics is served on the instance's own IP
                   number; not served without it.
  --check          Only check the settings.

Exit codes: 0 stopped gracefully, 2 bad settings.
"""

import sys

import anyio
import docopt

from clementinewall import errors
from clementinewall.gateway import program
from clementinewall import logs
from clementinewall.platform import settings as platform_settings


def main():
    """Read the command line and the settings, and run."""
    options = docopt.docopt(__doc__)
    path = options["--settings"]
    try:
        settings = platform_settings.load(path)
    except errors.SettingsError as exc:
        sys.stderr.write(f"{exc.message}\n")
        raise SystemExit(2) from None
    if options["--check"]:
        print(f"{path or 'settings'}: good")
        return
    settings = settings._replace(metrics_port=_port(options))
    log_writer = logs.to_standard_output(settings.instance)
    anyio.run(program.run, settings, log_writer)


def _port(options):
    text = options["--metrics-port"]
    if text is None:
        return None
    if not text.isdigit() or not 0 < int(text) < 65_536:
        sys.stderr.write(f"--metrics-port: found {text!r}, give a port\n")
        raise SystemExit(2)
    return int(text)


if __name__ == "__main__":
    main()
