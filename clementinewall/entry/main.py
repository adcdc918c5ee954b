"""Answer callers: where to connect, model work and calls to services.

Usage:
  clementinewall-entry --settings=FILE [--check]
  clementinewall-entry --help

Options:
  --settings=FILE  The settings, in TOML.
  --check          Only check the settings.

Exit codes: 0 stopped gracefully, 2 bad settings or an address that cannot be
listened on, 3 stopped at once by a second SIGINT.
"""

import importlib

import docopt

from clementinewall import signals


def main():
    """Catch signals, parse the command line, then import and run."""
    inbox = signals.catch()
    options = docopt.docopt(__doc__)
    # Imported late: a signal during the import must not kill the process.
    program = importlib.import_module("clementinewall.entry.program")
    program.main(options, inbox)


if __name__ == "__main__":
    main()
