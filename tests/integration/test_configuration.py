"""An accepted configuration is in force everywhere and never reverts."""

import time

from standins import bringup
from tests.integration import base
from tests.integration import callers


class ConfigurationTest(base.DeploymentCase):
    """Races, lost answers, outages, retention, pauses, replacement."""

    def names(self):
        """Return the names of all programs."""
        return self.entries + self.stewards

    def versions(self):
        """Return the version in force at each program."""
        return {n: self.dep.status(n)["version"] for n in self.names()}

    def trim(self, keep):
        """Let the log drop all but the newest records."""
        where = self.dep.address_by_name["log"]
        self.dep.http.post(f"http://{where}/trim", json={"keep": keep})

    def test_racing_operators(self):
        """Several operators change one endpoint at the same time.

        Each is told whether its change was made; nobody's is lost unseen.
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

    def test_two_whole_publications_race(self):
        """Two operators publish different documents over the same state.

        The loser hears of a conflict that names both versions.
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
            lost = next(r for r in done if r.returncode == 3)
            self.assertRegex(lost.stderr, r"is at \d+, the change expects")
        else:
            # They did not overlap: the second one saw the first.
            self.assertEqual([0, 0], codes)

    def test_a_lost_answer_is_one_change(self):
        """The log takes a publication but its answer is lost."""
        self.bring_up(1, 1)
        before = self.dep.operate("show")["version"]
        self.dep.faults("log", mode="lose_answers")
        answer = self.dep.operate("drain", "engine-1")
        self.dep.faults("log", mode="ok")
        shown = self.dep.operate("show", "endpoint/engine-1")
        self.assertGreater(answer["version"], before)
        self.assertEqual(answer["version"], shown["version"])

    def test_a_new_process_in_an_outage(self):
        """The log is down while a process starts with nothing.

        It takes the state from its peers and serves.
        """
        self.bring_up(2, 1)
        self.dep.faults("log", mode="down")
        self.dep.kill("entry-1")
        self.dep.start("entry-1")
        self.dep.wait_ready(["entry-1"])
        events = callers.stream(self.url(1), "outage", 5)
        self.assertEqual(callers.expected("outage", 5), callers.texts(events))

    def test_a_new_process_with_no_source_says_so(self):
        """The log is down and no peer is there: it serves nothing."""
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

    def test_the_log_drops_the_last_configuration(self):
        """Retention passes the record that is in force.

        All processes are then replaced; the snapshot must bring it back.
        """
        platform = {"platform": {"retention_ms": 3000}}
        names = ("entry_1", "entry_2", "steward_1", "steward_2")
        self.bring_up(2, 2, **dict.fromkeys(names, platform))
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
        for name in self.names():
            self.dep.kill(name)
        for name in self.names():
            self.dep.start(name)
        self.dep.wait_ready(self.names())
        self.assertEqual({version}, set(self.versions().values()))

    def test_a_process_that_wakes_catches_up(self):
        """An entry sleeps through a change and through the retention.

        It must neither serve by the old state for long nor pass it on.
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
            "the woken entry at the new version",
        )
        self.assertEqual({version}, set(self.versions().values()))

    def test_in_force_within_seconds(self):
        """Ten changes in a row, each timed until it is in force."""
        self.bring_up(3, 3)
        slowest = 0.0
        for number in range(10):
            verb = "drain" if number % 2 == 0 else "serve"
            version = self.dep.operate(verb, "engine-1")["version"]
            started = time.monotonic()
            bringup.wait_until(
                lambda v=version: min(self.versions().values()) >= v,
                6,
                "the version in force",
            )
            slowest = max(slowest, time.monotonic() - started)
        self.assertLess(slowest, 6.0)
