"""What the start of a gateway costs from a clean checkout after its build."""

import json
import subprocess
import tempfile

from bench import slopes_processes
from standins import bringup
from standins import checkout
from tests.integration import gateway_base

STARTS = 3
# For 350 gateways that return on 8 processors within 15 s: 0.9 of them.
MAX_START_SECONDS = 0.3
# The largest site whose machines share few processors, and its bound.
GATEWAYS = 71
PROCESSORS = 2
SITE_RECOVER_SECONDS = 15.0
# Of so many that start together on one processor, a quarter serves before half
# of what all their starts take has been spent.
CROWD = 24
SERVING_FRACTION = 1 / 4
SPENT_FRACTION = 1 / 2
SOURCE_MARK = "# code object from "


class StartCost(gateway_base.GatewayCase):
    """Gateways started by the deployment's command from a checkout."""

    @classmethod
    def setUpClass(cls):
        """Build a checkout of what is committed."""
        super().setUpClass()
        cls.folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.folder.cleanup)
        cls.built = checkout.Checkout(cls.folder.name)
        cls.addClassCleanup(cls.built.remove)

    def run(self, result=None):
        """Run a test; two suites would share the same processors."""
        with bringup.one_suite_at_a_time("start-cost"):
            return super().run(result)

    def new_deployment(self):
        """Return what starts gateways from the checkout."""
        return checkout.CheckoutDeployment(self.built)

    def setUp(self):
        """Publish a configuration."""
        super().setUp()
        self.publish(gateway_base.route("look", "app", "safe"))

    def cpu_seconds(self, *names):
        """Return the processor time of gateways so far."""
        ticks = sum(
            slopes_processes.cpu_ticks(self.dep.process_by_name[name].pid)
            for name in names
        )
        return ticks / slopes_processes.TICKS

    def test_a_start_takes_little_processor_time(self):
        # Guards against starts that take so long that few processors can't
        # bring a whole fleet back in time.
        names = [f"gateway-{number}" for number in range(1, STARTS + 1)]
        seconds = []
        for name in names:
            self.gateway(name)
            seconds.append(self.cpu_seconds(name))
            self.dep.kill(name)
        self.assertLessEqual(min(seconds), MAX_START_SECONDS, seconds)

    def test_a_start_compiles_no_module(self):
        # Guards against a build that leaves modules to be compiled by each
        # start, since a read-only checkout keeps no bytecode.
        self.gateway()
        settings = self.dep.folder / "gateway-1.toml"
        interpreter, *words = self.built.command
        done = subprocess.run(
            [interpreter, "-v", *words, "--check"],
            cwd=self.built.folder,
            env=self.built.environment(settings),
            capture_output=True,
            text=True,
        )
        self.assertEqual(done.returncode, 0, done.stderr[-2_000:])
        compiled = [
            line
            for line in done.stderr.splitlines()
            if line.startswith(SOURCE_MARK) and line.endswith(".py")
        ]
        self.assertEqual(compiled, [])

    def test_a_large_site_returns_on_two_processors(self):
        # Guards against a fleet whose gateways take each other the time that
        # they have to be back in.
        names = [f"gateway-{number}" for number in range(1, GATEWAYS + 1)]
        self.dep.share_processors(names, bringup.last_processors(PROCESSORS))
        for number, name in enumerate(names, 1):
            self.start_without_waiting(name, f"127.0.0.{number}")
        self._wait_until_ready(names)
        for name in names:
            self.dep.kill(name)
        for name in names:
            self.dep.start(name)
        self._wait_until_ready(names)
        # Other work on the machine delays them, but costs them nothing.
        self.assertLessEqual(
            self.cpu_seconds(*names), PROCESSORS * SITE_RECOVER_SECONDS
        )

    def test_the_first_of_many_starts_serve_before_the_last(self):
        # Guards against starts that share a processor so evenly that nobody
        # serves before all of them have been paid for.
        names = [f"gateway-{number}" for number in range(1, CROWD + 1)]
        self.dep.share_processors(names, bringup.last_processors(1))
        for number, name in enumerate(names, 1):
            self.start_without_waiting(name, f"127.0.0.{number}")
        bringup.wait_until(
            lambda: self._count_ready(names) >= SERVING_FRACTION * CROWD,
            seconds=240,
            what="a quarter of the gateways",
        )
        spent = self.cpu_seconds(*names)
        bringup.wait_until(
            lambda: self._count_ready(names) == CROWD,
            seconds=240,
            what="all gateways",
        )
        started = [self._start_seconds(name) for name in names]
        print("SPENT", spent, sum(started))
        self.assertLessEqual(spent, SPENT_FRACTION * sum(started), started)

    def _count_ready(self, names):
        return sum("ready to serve" in self.dep.log_of(n) for n in names)

    def _start_seconds(self, name):
        """Return the processor time that a gateway took until it served."""
        rows = map(json.loads, self.dep.log_of(name).splitlines())
        [ready] = [r for r in rows if "ready to serve" in r["message"]]
        return ready["cpu_ms"] / 1_000

    def _wait_until_ready(self, names):
        for name in names:
            bringup.wait_until(
                lambda n=name: self.is_ready(n),
                seconds=240,
                what=name,
            )
