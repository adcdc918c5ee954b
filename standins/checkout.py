"""Gateways as operators run them: from a clean, read-only checkout.

The command and the build are those of ``deploy/system.toml``.  Operators'
machines keep nothing that a process writes beside its sources.
"""

import os
import pathlib
import shlex
import subprocess
import sys
import tomllib

from clementinewall.platform import settings as platform_settings
from standins import bringup

ROOT = pathlib.Path(__file__).resolve().parent.parent
# What a process gets of its caller's environment.
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
METRICS_OPTION = "--metrics-port="
GATEWAY_MODULE = "clementinewall.gateway.main"
_BIN = pathlib.Path(sys.executable).parent


class Checkout:
    """A checkout of a revision after its build, without write bits."""

    def __init__(self, folder, revision="HEAD"):
        """Clone this repository into ``folder`` and build it."""
        self.folder = pathlib.Path(folder) / "checkout"
        _run("git", "clone", "-q", str(ROOT), str(self.folder))
        _run("git", "checkout", "-q", revision, cwd=self.folder)
        text = (self.folder / "deploy/system.toml").read_text()
        deploy = tomllib.loads(text)
        # The interpreter of this program is the one that is installed.
        path = f"{_BIN}:{os.environ['PATH']}"
        _run("sh", "-c", deploy["build"], cwd=self.folder, PATH=path)
        _run("chmod", "-R", "a-w", str(self.folder))
        (role,) = deploy["roles"].values()
        words = shlex.split(role["run"])[1:]
        # Two suites that run side by side use the same addresses.
        metrics_port = f"{METRICS_OPTION}{bringup.free_port()}"
        self.command = [
            sys.executable,
            *(word for word in words if not word.startswith(METRICS_OPTION)),
            metrics_port,
        ]

    def command_of(self, module, words):
        """Return the command that starts ``module``, a kind of gateway.

        The gateway itself finds its settings by the environment; a stand-in
        that starts one gets all its ``words``.
        """
        if module == GATEWAY_MODULE:
            return self.command
        at = self.command.index(GATEWAY_MODULE)
        return [*self.command[:at], module, *words, *self.command[at + 1 :]]

    def environment(self, settings):
        """Return the environment of a process with this settings file."""
        kept = {
            name: os.environ[name]
            for name in KEPT_VARIABLES
            if name in os.environ
        }
        return {
            **kept,
            platform_settings.PATH_VARIABLE: str(settings),
            # The stand-ins are in the checkout itself.
            "PYTHONPATH": "target/deps:.",
            # Root may write in spite of the missing write bits.
            "PYTHONDONTWRITEBYTECODE": "1",
        }

    def remove(self):
        """Delete the checkout."""
        _run("chmod", "-R", "u+w", str(self.folder))
        _run("rm", "-rf", str(self.folder))


def _run(*words, cwd=None, **variables):
    done = subprocess.run(
        words,
        cwd=cwd,
        env={**os.environ, **variables},
        capture_output=True,
        text=True,
    )
    if done.returncode:
        raise RuntimeError(f"{words}: {done.returncode} {done.stderr}")


class CheckoutDeployment(bringup.Deployment):
    """Runs gateways from a checkout."""

    def __init__(self, checkout):
        """Run gateways from ``checkout``, and all else as usual."""
        super().__init__()
        self._checkout = checkout

    def start(self, name, *command):
        """Start a process; gateways by the checkout's command."""
        if not name.startswith("gateway-"):
            super().start(name, *command)
            return
        if command:
            self.command_by_name[name] = command
        module, *words = self.command_by_name[name]
        settings = words[-1].removeprefix("--settings=")
        with open(self.folder / f"{name}.log", "ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                [
                    *self.prefix_by_name.get(name, ()),
                    *self._checkout.command_of(module, words),
                ],
                cwd=self._checkout.folder,
                env=self._checkout.environment(settings),
                stdout=log,
                stderr=log,
            )
