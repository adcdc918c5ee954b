"""Settings: the samples load, and each mistake is reported by its key."""

import pathlib
import tempfile
import tomllib
import unittest

import hypothesis
from hypothesis import strategies as st

from clementinewall import errors
from clementinewall.records import configuration
from clementinewall import settings
from standins import bringup

SAMPLES = pathlib.Path(__file__).resolve().parent.parent / "samples"
GOOD = {
    "instance": {"id": "i", "data_centre": "a"},
    "listen": {"control": "127.0.0.1:9000"},
    "platform": {"log": ["127.0.0.1:7001"]},
    "security": {"control_token": "t"},
}


def load(data):
    """Write ``data`` as TOML and load it."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "x.toml"
        path.write_text(bringup.to_toml(data))
        return settings.load(str(path))


class SamplesTest(unittest.TestCase):
    """The documented samples of both deployments."""

    def test_they_load(self):
        """Each file is good as it stands."""
        for name in ("harvest", "groupement"):
            for program in ("entry", "steward"):
                settings.load(str(SAMPLES / name / f"{program}.toml"))
            settings.load(
                str(SAMPLES / name / "operator.toml"),
                settings.OperatorSettings,
            )

    def test_the_fleets_have_the_sizes_of_the_users(self):
        """Six and three, five and four, and what checks fencing tokens."""
        sizes = {"harvest": (6, 3, 0), "groupement": (5, 4, 2)}
        for name, wanted in sizes.items():
            text = (SAMPLES / name / "fleet.toml").read_text()
            by_key = configuration.flatten(tomllib.loads(text))
            rows = [v for k, v in by_key.items() if k.startswith("endpoint/")]
            found = (
                sum(row["kind"] == "engine" for row in rows),
                sum(row["kind"] == "service" for row in rows),
                sum(row.get("fencing") == "ignored" for row in rows),
            )
            self.assertEqual(wanted, found)


class MistakesTest(unittest.TestCase):
    """How mistakes are reported."""

    def test_all_mistakes_are_reported_together(self):
        """File, key, what was found and what is allowed, for each."""
        data = {
            **GOOD,
            "listen": {"control": "localhost:9000"},
            "leases": {"lease_ms": 100, "renew_ms": 90, "renw_ms": 1},
            "membership": {"tailers": 0},
            "limits": {"requests": True},
        }
        with self.assertRaises(errors.SettingsError) as caught:
            load(data)
        text = caught.exception.message
        for part in (
            "leases.renw_ms: found 'renw_ms', allowed is no such key "
            "(nearest: renew_ms)",
            "membership.tailers: found 0, allowed is 1 to 16",
            "limits.requests: found True, allowed is a whole number",
        ):
            self.assertIn(part, text)

    def test_mistakes_between_settings(self):
        """Single values that are good do not fit together."""
        data = {**GOOD, "leases": {"lease_ms": 100, "renew_ms": 90}}
        with self.assertRaises(errors.SettingsError) as caught:
            load(data)
        self.assertIn("a third of lease_ms", caught.exception.message)

    def test_a_missing_key(self):
        """Each required key is asked for by its name."""
        with self.assertRaises(errors.SettingsError) as caught:
            load({k: v for k, v in GOOD.items() if k != "security"})
        self.assertIn("security: found nothing", caught.exception.message)

    def test_no_file_and_no_toml(self):
        """The file is named with what is wrong."""
        with self.assertRaises(errors.SettingsError) as caught:
            settings.load("/nowhere/x.toml")
        self.assertIn("/nowhere/x.toml", caught.exception.message)

    @hypothesis.given(
        st.dictionaries(
            st.text(max_size=8),
            st.integers() | st.text() | st.lists(st.integers()),
        )
    )
    def test_any_document(self, document):
        """An operator's document is good or refused with reasons."""
        try:
            configuration.flatten(document)
        except errors.SettingsError as exc:
            self.assertTrue(exc.message)

    def test_addresses_are_ip_numbers(self):
        """Names need a resolver that the instances don't have."""
        for good in ("10.0.0.1:80", "[::1]:9000", "127.0.0.1:65535"):
            self.assertTrue(settings.is_address(good), good)
        for bad in ("localhost:80", "10.0.0.1", "10.0.0.1:x", ":1", "1:70000"):
            self.assertFalse(settings.is_address(bad), bad)


if __name__ == "__main__":
    unittest.main()
