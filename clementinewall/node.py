"""The common part of the entry and steward programs.

A node follows the control stream, gossips with the other nodes and serves
the control listener.
"""

import functools
import secrets
import sys

import anyio
from starlette import responses
from starlette import routing

from clementinewall import _schema
from clementinewall import _web
from clementinewall import clock
from clementinewall import containment
from clementinewall import errors
from clementinewall import lifecycle
from clementinewall.log import client
from clementinewall.log import tail
from clementinewall import logs
from clementinewall.membership import crashes
from clementinewall.membership import gossip
from clementinewall.membership import members
from clementinewall import metrics
from clementinewall import settings as settings_module

_log = logs.PartLog("node")

BOOT_ID_BYTES = 6


class Node:
    """The components that an entry and a steward both run."""

    def __init__(self, life, program):
        """Take the process's life cycle and the short name of the program."""
        settings = life.settings
        self.lifecycle = life
        self.settings = settings
        self.clock = clock.Clock()
        self.boot = secrets.token_hex(BOOT_ID_BYTES)
        self.crashes = crashes.CrashTable(self.clock.now)
        own = members.Member(
            id=f"{settings.instance.id}/{program}",
            program=program,
            data_centre=settings.instance.data_centre,
            region=settings.instance.region,
            boot=self.boot,
            control=settings.listen.control,
            callers=settings.listen.callers,
        )
        self.members = members.Members(
            own, settings.membership, self.clock.now
        )
        self.log = client.LogClient(settings)
        self.tail = tail.Tail(settings, self.log, self.members, self.clock.now)
        self.gossip = gossip.Gossiper(settings, self.members, self.crashes)
        self.stopping = life.draining
        self.closed = anyio.Event()
        # On the clock with suspension, as is the platform's limit for a stop.
        self.drain_end = None

    @property
    def id(self):
        """The process's id: its instance's with the program's name."""
        return self.members.own.id

    @property
    def view(self):
        """The active configuration."""
        return self.tail.state.view

    def is_ready(self):
        """Tell whether a configuration is active and up to date."""
        return self.tail.state.version >= 0 and self.tail.caught_up

    def check_remaining_time(self, deadline_ms):
        """Refuse work that may not end before the drain of this process.

        :raises NotReady: the drain ends in less than ``deadline_ms``.
        """
        if self.drain_end is None:
            return
        remaining_ms = self.drain_end - self.clock.now_with_suspend()
        if deadline_ms > remaining_ms:
            raise errors.NotReady(
                f"draining: the drain ends in {max(0, remaining_ms):.0f} ms, "
                f"the request may take {deadline_ms} ms; connect to another "
                "instance",
                retry_after_ms=1_000,
            )

    def active_version(self):
        """Return the active version and the next offset of the stream."""
        state = self.tail.state
        return state.version, state.next

    async def run(self, group):
        """Start the node's tasks in the task group ``group``."""
        for name, task in (
            ("the control stream", self.tail.run),
            (
                "gossip",
                functools.partial(self.gossip.run, self.active_version),
            ),
        ):
            group.start_soon(containment.keep_running, _log, name, task)

    async def announce_draining(self):
        """Announce to the peers that this process is draining."""
        self.members.mark_draining()
        await self.gossip.announce()

    def control_routes(self):
        """Return the routes of the control listener."""
        return [
            routing.Route(
                "/streams/control/records", self._on_relay, methods=["GET"]
            ),
            routing.Route("/control/status", self._on_status),
            routing.Route("/control/explain", self._on_explain),
            routing.Route("/live", _on_live),
            routing.Route("/ready", self._on_ready),
            routing.Route("/metrics", _on_metrics),
        ]

    def require_token(self, request):
        """Refuse the request if it lacks the control token.

        :raises Unauthorized: the token is missing or wrong.
        """
        _web.check_token(request, self.settings.security.control_token)

    async def _on_relay(self, request):
        self.require_token(request)
        start = _web.read_number(request, "from", 0)
        wait_ms = _web.read_number(request, "wait_ms", 0)
        if start >= self.tail.state.next and wait_ms:
            await self.tail.wait_change(min(wait_ms, tail.READ_WAIT_MS))
        return responses.JSONResponse(_schema.plain(self.tail.relay(start)))

    async def _on_status(self, request):
        self.require_token(request)
        return responses.JSONResponse(self.status())

    def status(self):
        """Return the status of this process, as operators see it."""
        state = self.tail.state
        live_ids = {row.id for row in self.members.live()}
        return {
            "id": self.id,
            "boot": self.boot,
            "version": state.version,
            "next": state.next,
            "ready": self.is_ready(),
            "state": self.members.own.state,
            "log_reachable": self.tail.log_reachable,
            "members": [
                {**_schema.plain(row), "alive": row.id in live_ids}
                for row in self.members.all()
            ],
            "scopes": {
                scope: _schema.plain(held)
                for scope, held in state.held_by_scope.items()
            },
        }

    async def _on_explain(self, request):
        self.require_token(request)
        about = request.query_params.get("about", "")
        if not about:
            raise errors.BadRequest("the query parameter 'about' is missing")
        return responses.JSONResponse({"lines": logs.recent(about)})

    async def _on_ready(self, _request):
        if self.stopping.is_set():
            raise errors.NotReady(
                "the instance is draining", retry_after_ms=1_000
            )
        if not self.is_ready():
            raise errors.NotReady(
                "no configuration has been received yet", retry_after_ms=1_000
            )
        return responses.PlainTextResponse("ready\n")


async def _on_live(_request):
    return responses.PlainTextResponse("live\n")


async def _on_metrics(_request):
    return responses.PlainTextResponse(metrics.render())


def run_with_settings(options, inbox, check, serve):
    """Load the settings, check them, and run ``serve`` with them.

    Mistakes in the settings exit the process with 2; with ``--check`` it
    returns once they are checked.
    """
    path = options["--settings"]
    read = functools.partial(_read_settings, path, check)
    checked = lifecycle.load(read)
    if options["--check"]:
        print(f"{path}: good")
        return
    logs.configure(checked.logging, checked.instance.id)
    life = lifecycle.Lifecycle(inbox, checked, read)
    lifecycle.run(serve, life, sys.stderr.flush)


def _read_settings(path, check):
    checked = settings_module.load(path)
    check(checked)
    return checked
