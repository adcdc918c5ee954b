"""What the start of a gateway loads."""

import subprocess
import sys
import unittest

# Each takes a hundredth of a start or more, for nothing that a gateway does
# before its first request.
TOO_COSTLY = {
    "clementinewall.duties.assembly",
    "clementinewall.settings",
    "difflib",
    "hdrh",
    "httpx",
    "hypercorn",
    "loguru",
    "multiprocessing",
    "pathlib",
    "shutil",
    "starlette",
    "sysconfig",
    "tempfile",
}
MAX_OWN_MODULES = 125
LIST_MODULES = """
import sys
from clementinewall.gateway import main, startup
import anyio
async def run():
    print(*sys.modules)
anyio.run(run)
"""


class Startup(unittest.TestCase):
    """The modules of a process that has just loaded the gateway."""

    @classmethod
    def setUpClass(cls):
        """Load the gateway as its program does, without site packages."""
        super().setUpClass()
        path = ":".join(entry for entry in sys.path if entry)
        done = subprocess.run(
            [sys.executable, "-S", "-c", LIST_MODULES],
            env={"PYTHONPATH": path},
            capture_output=True,
            text=True,
            check=True,
        )
        cls.loaded = set(done.stdout.split())

    def test_costly_modules_are_not_loaded(self):
        # Guards against imports that delay all gateways that start together.
        self.assertEqual(self.loaded & TOO_COSTLY, set())

    def test_no_more_own_modules_are_loaded(self):
        # Guards against a start that grows with each part of the package.
        own = [name for name in self.loaded if name.startswith("clementine")]
        self.assertLessEqual(len(own), MAX_OWN_MODULES)
