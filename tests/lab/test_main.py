"""Tests of the lab's command line and deployment files."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from clementinewall import errors
from clementinewall.lab import deployment

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SAMPLES = sorted((ROOT / "samples" / "lab").glob("*.toml"))


class DeploymentFileTest(unittest.TestCase):
    """Loading of deployment files."""

    def test_all_samples_load(self):
        self.assertTrue(SAMPLES)
        for path in SAMPLES:
            self.assertEqual(deployment.load(path).name, path.stem)

    def test_error_names_every_mistake(self):
        text = SAMPLES[0].read_text()
        bad = text.replace("slots =", "slosts =").replace(
            "clump = 3.0", 'clump = "many"'
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "bad.toml"
            path.write_text(bad)
            with self.assertRaises(errors.SettingsError) as caught:
                deployment.load(path)
        for part in ("slosts", "engines.slots", "clump"):
            self.assertIn(part, caught.exception.message)

    def test_missing_file_is_a_settings_error(self):
        with self.assertRaises(errors.SettingsError):
            deployment.load("/nowhere.toml")


class CommandLineTest(unittest.TestCase):
    """The command ``clementinewall-lab``."""

    def lab(self, *words):
        """Run the lab with command-line arguments; return the process."""
        return subprocess.run(
            [sys.executable, "-m", "clementinewall.lab.main", *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )

    def test_short_run_prints_json(self):
        done = self.lab(
            str(SAMPLES[0]), "--seconds=0.5", "--seeds=1", "--json"
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn('"random-split"', done.stdout)

    def test_bad_argument_exits_without_a_traceback(self):
        for words in (
            ("--load=-1",),
            ("--seeds=a",),
            ("--policy=best",),
        ):
            done = self.lab(str(SAMPLES[0]), *words)
            self.assertEqual(done.returncode, 2)
            self.assertNotIn("Traceback", done.stderr)
