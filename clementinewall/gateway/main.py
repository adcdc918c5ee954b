"""Answer callers on the users' platform.

Usage:
  clementinewall-gateway [--settings=FILE] [--metrics-port=PORT] [--check]
                         [--engines=LIMITS]...
  clementinewall-gateway --help

Options:
  --settings=FILE  The settings that the platform wrote; by default the file
                   that its environment variable names.
  --metrics-port=PORT  Where /metrics is served on the instance's own IP
                   number; not served without it.
  --engines=LIMITS  How many engines a service has over all data centres, as
                   SERVICE=N or SERVICE=MIN-MAX, where engines are ordered.
  --check          Only check the settings.

Exit codes: 0 stopped gracefully, 2 bad settings or an address that cannot be
listened on, 3 stopped at once by a second SIGINT.
"""

import gc
import importlib

from clementinewall import signals
from clementinewall import start_pacing


def main():
    """Catch signals, read the command line, load the program and run it."""
    inbox = signals.catch()
    # What is loaded stays, so that looking for garbage among it is in vain.
    gc.disable()
    paced_ms = start_pacing.pace(inbox.wait)
    options = importlib.import_module("docopt").docopt(__doc__)
    # Imported after signals are caught: the import takes a while, and a signal
    # that arrives during it would otherwise kill the process.
    startup = importlib.import_module("clementinewall.gateway.startup")
    startup.main(options, inbox, paced_ms)


if __name__ == "__main__":
    main()
