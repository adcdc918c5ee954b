"""An accepted configuration takes effect everywhere and never reverts."""

import time

from standins import bringup
from tests.integration import base
from tests.integration import callers


class ConfigurationTest(base.DeploymentCase):
    """Configuration changes under races, outages and log retention."""

    def instance_names(self):
        """Return the names of all entries and stewards."""
        return self.entries + self.stewards

    def versions(self):
        """Return the active version by instance."""
        return {
            n: self.dep.status(n)["version"] for n in self.instance_names()
        }

    def trim(self, keep):
        """Make the log drop all but the newest ``keep`` records."""
        where = self.dep.address_by_name["log"]
        self.dep.http.post(f"http://{where}/trim", json={"keep": keep})

    def test_concurrent_changes_succeed_or_conflict(self):
        """A change is lost without an error if two operators race.

        Six operators change one endpoint at once.  Each must succeed or get
        a conflict, and all instances must end at the same version.
        """
        self.bring_up(2, 2)

        def edit(number):
            verb = ("drain", "serve", "drain", "serve")[number % 4]
            done = self.dep.operate(verb, "engine-1", check=False)
            return done.returncode

        work = base.Background(edit, [(n,) for n in range(6)])
        codes = [code for _, code in work.join()]
        self.assertTrue(set(codes) <= {0, 3}, codes)
        self.assertIn(0, codes)
        version = self.dep.operate("show")["version"]
        self.dep.operate("wait", str(version), "--timeout-ms=6000")
        self.assertEqual({version}, set(self.versions().values()))

    def test_unusable_customers_leave_the_version_in_force(self):
        """A customer is cut off, or served as another, by a mistake.

        Documents without a key for a customer, or with one key for two, must
        be refused with the reason, and change nothing.
        """
        self.bring_up(1, 1)
        path = self.dep.folder / "customers.toml"
        before = self.dep.operate("show")["version"]
        for keys, reason in (
            ([], "at least one key"),
            (["k-1"], "customer/mill.keys[0]: found a key of customer/harbo"),
            ([""], "customer/mill.keys[0]: found an empty key"),
        ):
            self.dep.fleet["customer"] = {
                "harbour": {"keys": ["k-1"]},
                "mill": {"keys": keys},
            }
            path.write_text(bringup.to_toml(self.dep.fleet))
            done = self.dep.operate("publish", str(path), check=False)
            self.assertEqual(2, done.returncode, done.stderr)
            self.assertIn(reason, done.stderr)
            self.assertEqual(before, self.dep.operate("show")["version"])
        self.dep.fleet["customer"]["mill"]["keys"] = ["k-2"]
        self.assertGreater(self.dep.publish(), before)

    def test_concurrent_publications_conflict(self):
        """A publication overwrites another that it has not seen.

        Two operators publish different documents at once.  The later one
        must get a conflict that names both versions.
        """
        self.bring_up(1, 1)
        paths = []
        for number in (1, 2):
            row = self.dep.fleet["class"]["drafting"]
            row["first_ms"] = 1000 + number
            path = self.dep.folder / f"race-{number}.toml"
            path.write_text(bringup.to_toml(self.dep.fleet))
            paths.append(str(path))
        work = base.Background(
            lambda path: self.dep.operate("publish", path, check=False),
            [(path,) for path in paths],
        )
        done = [result for _, result in work.join()]
        codes = sorted(result.returncode for result in done)
        if codes == [0, 3]:
            conflict = next(r for r in done if r.returncode == 3)
            self.assertRegex(conflict.stderr, r"is at \d+, the change expects")
        else:
            # The publications did not overlap: the second saw the first.
            self.assertEqual([0, 0], codes)

    def test_lost_answer_of_the_log_makes_one_change(self):
        """A retry applies a change twice.

        The log appends the change but its answer is lost, so the operator
        has to find out whether the change was made.
        """
        self.bring_up(1, 1)
        before = self.dep.operate("show")["version"]
        self.dep.faults("log", mode="lose_answers")
        answer = self.dep.operate("drain", "engine-1")
        self.dep.faults("log", mode="ok")
        shown = self.dep.operate("show", "endpoint/engine-1")
        self.assertGreater(answer["version"], before)
        self.assertEqual(answer["version"], shown["version"])

    def test_restart_while_the_log_is_down(self):
        """A restarted entry does not serve while the log is down.

        It starts without state and must fetch it from its peers.
        """
        self.bring_up(2, 1)
        self.dep.faults("log", mode="down")
        self.dep.kill("entry-1")
        self.dep.start("entry-1")
        self.dep.wait_ready(["entry-1"])
        events = callers.stream(self.url(1), "outage", 5)
        self.assertEqual(callers.expected("outage", 5), callers.texts(events))

    def test_restart_without_log_and_peers_is_not_ready(self):
        """A restarted entry serves without any configuration.

        The log is down and no peer is running: it must refuse calls as not
        run and log what it waits for.
        """
        self.bring_up(1, 1)
        self.dep.faults("log", mode="down")
        self.dep.kill("steward-1")
        self.dep.kill("entry-1")
        self.dep.start("entry-1")
        bringup.wait_until(
            lambda: (
                "waiting for the log or a peer with state"
                in self.dep.log_of("entry-1")
            ),
            what="the log line",
        )
        answer = callers.book(self.url(1), "x")
        self.assertEqual("not_ready", answer.json()["code"])
        self.assertEqual("not_run", answer.json()["verdict"])

    def test_snapshot_restores_a_version_that_the_log_dropped(self):
        """The active configuration is lost to log retention.

        The log drops the record of the active version, and then all
        processes are restarted; the snapshot must restore the version.
        """
        platform = {"platform": {"retention_ms": 3000}}
        instance_names = ("entry_1", "entry_2", "steward_1", "steward_2")
        self.bring_up(2, 2, **dict.fromkeys(instance_names, platform))
        version = self.dep.operate("show")["version"]
        bringup.wait_until(
            lambda: any(
                "wrote a snapshot" in self.dep.log_of(n) for n in self.stewards
            ),
            what="a snapshot",
        )
        self.trim(12)
        bringup.wait_until(
            lambda: all(v == version for v in self.versions().values()),
            what="the same version",
        )
        for name in self.instance_names():
            self.dep.kill(name)
        for name in self.instance_names():
            self.dep.start(name)
        self.dep.wait_ready(self.instance_names())
        self.assertEqual({version}, set(self.versions().values()))

    def test_resumed_process_catches_up(self):
        """A paused entry resumes with an old configuration.

        The log drops the change while the entry is paused.  The entry must
        soon reach the new version and must not spread the old one.
        """
        platform = {"platform": {"retention_ms": 3000}}
        self.bring_up(2, 2, steward_1=platform, steward_2=platform)
        self.dep.pause("entry-2")
        version = self.dep.operate("drain", "engine-1")["version"]
        time.sleep(5.0)
        self.trim(8)
        self.dep.resume("entry-2")
        bringup.wait_until(
            lambda: self.dep.status("entry-2")["version"] == version,
            6,
            "the resumed entry at the new version",
        )
        self.assertEqual({version}, set(self.versions().values()))

    def test_change_is_active_within_seconds(self):
        """A change takes too long to take effect on all instances.

        Ten changes in a row must each be active everywhere within 6 s.
        """
        self.bring_up(3, 3)
        slowest = 0.0
        for number in range(10):
            verb = "drain" if number % 2 == 0 else "serve"
            version = self.dep.operate(verb, "engine-1")["version"]
            started = time.monotonic()
            bringup.wait_until(
                lambda v=version: min(self.versions().values()) >= v,
                6,
                "the version active on all instances",
            )
            slowest = max(slowest, time.monotonic() - started)
        self.assertLess(slowest, 6.0)
