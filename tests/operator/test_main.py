"""The command line of operators reads what its help shows."""

import unittest

import docopt

from clementinewall.operator import main

ARGUMENTS_BY_COMMAND = {
    "check": ["f"],
    "publish": ["f"],
    "diff": ["f"],
    "show": [],
    "wait": ["3"],
    "status": [],
    "drain": ["e"],
    "withdraw": ["e"],
    "serve": ["e"],
    "replace": ["e", "10.0.0.1:80"],
    "explain": ["e"],
    "story": ["r", "f1", "f2"],
}


class Usage(unittest.TestCase):
    """Every command with and without the common options."""

    def test_each_command_takes_the_common_options(self):
        # An option named twice in the help makes every command that uses it
        # end with the help text instead of its answer.
        self.assertEqual(set(ARGUMENTS_BY_COMMAND), set(main._COMMANDS))
        for command, arguments in ARGUMENTS_BY_COMMAND.items():
            for options in ([], ["--json"], ["--settings=x", "--json"]):
                found = docopt.docopt(
                    main.__doc__, [*options, command, *arguments]
                )
                self.assertTrue(found[command])
                self.assertEqual(found["--json"], "--json" in options)
                if "f" in arguments:
                    # A name that repeats in one command is a list in all.
                    self.assertEqual(found["FILE"], "f")
