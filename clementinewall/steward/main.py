"""Apply the published configuration to the endpoints.

Usage:
  clementinewall-steward --settings=FILE [--check]
  clementinewall-steward --help

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
    """Catch signals, read the command line, load the program and run it."""
    inbox = signals.catch()
    options = docopt.docopt(__doc__)
    # Imported only after signals are caught: the import takes long enough
    # that a signal during it would otherwise kill the process.
    program = importlib.import_module("clementinewall.steward.program")
    program.main(options, inbox)


if __name__ == "__main__":
    main()
