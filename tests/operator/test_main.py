"""Parsing of the operators' command line."""

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
    """Every command, with and without the common options."""

    def test_each_command_takes_the_common_options(self):
        # Guards against an option that is listed twice in the usage text:
        # each command given that option would print the usage and exit.
        self.assertEqual(set(ARGUMENTS_BY_COMMAND), set(main._COMMANDS))
        for command, arguments in ARGUMENTS_BY_COMMAND.items():
            for options in ([], ["--json"], ["--settings=x", "--json"]):
                found = docopt.docopt(
                    main.__doc__, [*options, command, *arguments]
                )
                self.assertTrue(found[command])
                self.assertEqual(found["--json"], "--json" in options)
                if "f" in arguments:
                    # docopt makes an argument that one command repeats a
                    # list in all commands.
                    self.assertEqual(found["FILE"], "f")
