"""Loading the settings file that the platform writes."""

import pathlib
import tempfile
import unittest

from clementinewall import domain
from clementinewall import errors
from clementinewall.platform import settings

GOOD = """
node_name = "front-a-1"
ip = "10.1.0.38"
zone = "a"
region = "r"
port_range = [7380, 7395]
something_new = 3
[listen]
front = "10.1.0.38:8149"
ready_addr = "10.1.0.38:8141"
directory = "10.1.0.38:8143"
other = "x"
[bounds]
grace_s = 8
budget_ratio = 0.25
novel_bound = true
[platform]
address = "10.200.1.7:8142"
"""


class Load(unittest.TestCase):
    """``load`` with valid files, unknown keys and invalid files."""

    def load(self, text):
        """Load a file with this text."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text(text)
            return settings.load(str(path))

    def test_valid_file_with_unknown_keys(self):
        found = self.load(GOOD)
        self.assertEqual(found.data_centre, "a")
        self.assertEqual(found.peer_port, 7_380)
        self.assertEqual(found.bounds.grace_ms, 8_000)
        self.assertEqual(found.bounds.retry_ratio, 0.25)

    def test_link_bandwidth_is_optional(self):
        self.assertEqual(self.load(GOOD).link_mbps, 0.0)
        limited = GOOD + "[limits]\nlink_mbps = 10\nmax_fds = 4_100\n"
        self.assertEqual(self.load(limited).link_mbps, 10.0)

    def test_limits_of_the_store_are_optional(self):
        self.assertIsNone(self.load(GOOD).store_limits.keep_ms)
        limits = self.load(
            GOOD + "writes_per_s = 1_600\nkeep_s = 20\nrecord_bytes = 9\n"
            "append_ms = 3\n"
        ).store_limits
        self.assertEqual(
            limits, domain.StoreLimits(1_600.0, 2_000.0, 9, 20_000, 3.0)
        )

    def test_error_names_file_and_each_mistake(self):
        broken = GOOD.replace('zone = "a"', "zone = 7").replace(
            'front = "10.1.0.38:8149"', ""
        )
        with self.assertRaises(errors.SettingsError) as caught:
            self.load(broken)
        self.assertIn("zone", caught.exception.message)
        self.assertIn("listen.front", caught.exception.message)
        self.assertIn("settings.toml", caught.exception.message)

    def test_missing_file_and_bad_syntax_are_refused(self):
        with self.assertRaises(errors.SettingsError):
            settings.load("/nowhere/settings.toml")
        with self.assertRaises(errors.SettingsError):
            self.load("not = = toml")

    def test_error_names_unusable_values(self):
        for key, good, bad in (
            ("bounds.grace_s", "grace_s = 8", "grace_s = inf"),
            ("bounds.grace_s", "grace_s = 8", "grace_s = nan"),
            ("bounds.grace_s", "grace_s = 8", "grace_s = -1"),
            ("listen.front", "10.1.0.38:8149", "10.1.0.38"),
            ("listen.directory", "10.1.0.38:8143", "10.1.0.38:70000"),
            ("platform.address", "10.200.1.7:8142", ":x"),
            ("port_range[0]", "[7380,", "[70000,"),
            ("ip", 'ip = "10.1.0.38"', 'ip = "front-a-1"'),
            ("zone", 'zone = "a"', f'zone = "{"a" * 201}"'),
            ("listen.front", 'front = "10', f'front = "{"a" * 201}10'),
        ):
            with self.subTest(bad):
                with self.assertRaises(errors.SettingsError) as caught:
                    self.load(GOOD.replace(good, bad))
                self.assertIn(f"{key}: found", caught.exception.message)

    def test_toml_beyond_parser_limits_is_refused(self):
        for text in ("a = " + "[" * 20_000, "a = " + "9" * 5_000):
            with self.subTest(text[:8]):
                with self.assertRaises(errors.SettingsError) as caught:
                    self.load(text)
                self.assertIn("not TOML", caught.exception.message)
