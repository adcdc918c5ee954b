"""Run the command line as ``python -m clementinewall.operator``."""

from clementinewall.operator import main

main.main()
