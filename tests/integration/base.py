"""Base class of the tests with a whole deployment."""

import threading
import unittest

import httpx

from standins import bringup


class DeploymentCase(unittest.TestCase):
    """Starts entries and stewards in data centres a, b and c."""

    def bring_up(self, entries=3, stewards=3, prepare=None, **tables):
        """Start and publish a deployment; return it when members are known.

        :param prepare: sets up the endpoints instead of the default three
            engines and two services.
        :param tables: settings by the name of an instance, with underscores.
        """
        dep = bringup.Deployment()
        self.addCleanup(dep.close)
        self.dep = dep
        dep.platform()
        dep.classes()
        if prepare is None:
            for number in (1, 2, 3):
                dep.engine(f"engine-{number}", "abc"[number - 1])
            dep.service("orders-1", "a")
            dep.service("orders-2", "b")
        else:
            prepare(dep)
        self.entries = [f"entry-{n}" for n in range(1, entries + 1)]
        self.stewards = [f"steward-{n}" for n in range(1, stewards + 1)]
        for program, names in (
            ("entry", self.entries),
            ("steward", self.stewards),
        ):
            for index, name in enumerate(names):
                own = tables.get(name.replace("-", "_"), {})
                dep.instance(name, "abc"[index % 3], program, **own)
        names = self.entries + self.stewards
        dep.list_instances(names)
        dep.publish()
        dep.wait_ready(names)
        self.wait_acquainted(names)
        return dep

    def wait_acquainted(self, names):
        """Wait until each instance sees all others of its kind alive."""

        def knows(name):
            rows = self.dep.status(name)["members"]
            alive = {row["id"] for row in rows if row["alive"]}
            kind = name.split("-")[0]
            return alive.issuperset(
                f"{n}/{kind}" for n in names if n.startswith(kind)
            )

        def all_known():
            return all(knows(name) for name in names)

        bringup.wait_until(all_known, what="the membership of all instances")

    def url(self, number=1):
        """Return the URL of entry ``number`` for callers."""
        return self.dep.callers(f"entry-{number}")

    def listed_url(self, number):
        """Return the URL of an entry as listed by ``/v1/addresses``."""
        for name in self.entries:
            try:
                url = self.dep.callers(name) + "/v1/addresses"
                rows = httpx.get(url, timeout=3).json()["addresses"]
            except httpx.HTTPError:
                continue
            if rows:
                return f"http://{rows[number % len(rows)]['address']}"
        raise AssertionError("no entry returned an address for callers")

    def holder(self, scope):
        """Return the name of the steward that holds ``scope``."""

        def find():
            rows = self.dep.status(self.stewards[-1])["scopes"]
            row = rows.get(scope)
            return row and not row["released"] and row["holder"]

        return bringup.wait_until(find, what=scope).split("/")[0]


class Background:
    """Runs a function in threads; collects results and exceptions."""

    def __init__(self, function, arguments):
        """Start one thread per tuple of arguments."""
        self.results = []
        self.errors = []
        self._threads = [
            threading.Thread(target=self._run, args=(function, row))
            for row in arguments
        ]
        for thread in self._threads:
            thread.start()

    def join(self, seconds=60):
        """Wait for all threads; return pairs of arguments and result.

        :raises TimeoutError: a thread did not end within ``seconds``.
        """
        for thread in self._threads:
            thread.join(seconds)
        if any(thread.is_alive() for thread in self._threads):
            raise TimeoutError("a thread did not end")
        return self.results

    def _run(self, function, row):
        try:
            self.results.append((row, function(*row)))
        except Exception as exc:
            self.errors.append((row, exc))
