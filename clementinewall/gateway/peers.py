"""The socket on which gateways talk with one another.

Gateways of a cell tell each other their work several times a second; the
others get signs of life.  Datagrams may be lost or late and peers may be
cut off.  Nothing that must hold depends on this.
"""

import collections
import itertools

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.gateway import datagrams
from clementinewall.gateway import peer_messages
from clementinewall.gateway import peer_table
from clementinewall.gateway import topic_updates
from clementinewall import logs
from clementinewall.platform import records
from clementinewall.platform import store
from clementinewall.policy import store_polling

_log = logs.PartLog("peers")

# New prompts are told at once; otherwise all that are placed meanwhile go to
# the engine that then seems the least loaded.  The gap between two sends
# grows with the number of peers, which bounds the datagrams a second.
SEND_GAP_MS_PER_PEER = 2
# Ends of work, and new streams, are told at the latest after this time.  The
# others work out for themselves when a prompt has been read.
MAX_CHANGE_DELAY_MS = 200
# The body of a prompt that takes so long to read fills a thin link, and
# datagrams that meet a full link are lost.  Such a prompt is told again.
LONG_PREFILL_MS = 40
REPEAT_DELAY_MS = 60
# Without a change a state is sent this seldom, as a sign of life.
HEARTBEAT_INTERVAL_MS = 300
# A gateway outside the cell hears from this one once in so many rounds, and
# in each of them from others of this cell, who tell the same.
REMOTE_INTERVAL_MS = 500
REMOTE_ROUNDS = 4
REGISTER_RETRY_MS = 1_000
MAX_BYTES = 60_000
# Datagrams get lost.  News with a change is sent so many times at once; the
# next news, half a second later or more, repeats it as well.
UPDATE_COPIES = 2


class Peers:
    """Sends and receives; what is heard is in the table."""

    def __init__(
        self, settings, now, is_ready, endpoints, crash_guard, cell_membership
    ):
        """Tell the work at ``endpoints``, who learn from others.

        The marks of ``guard`` go with each message, and ``is_ready`` says
        whether callers may come.
        """
        self._settings = settings
        self._now = now
        self._is_ready = is_ready
        self._endpoints = endpoints
        self._crash_guard = crash_guard
        self._cell_membership = cell_membership
        self.table = peer_table.PeerTable(settings.ip, now)
        # Whether the store names no earlier process of this instance.
        self.is_first_process = False
        self._last_work = {}
        self._last_at = -HEARTBEAT_INTERVAL_MS
        self._repeat_at = None
        self._datagrams = None
        self._last_remote_at = -REMOTE_INTERVAL_MS
        self._rounds = itertools.count()
        self._wake = anyio.Event()
        self._outbox = collections.deque()
        self._apply_update_by_topic = {}

    def notify(self):
        """Let the others know soon of what has changed."""
        self._wake.set()

    def announce_prompt(self, job):
        """Let the others know of a new prompt, before its body is sent.

        Sent right after it, the datagram may be lost behind the body on a
        thin link, and others take the engine for idle until the next one.
        """
        now = self._now()
        if job.cost_ms >= LONG_PREFILL_MS:
            self._repeat_at = now + REPEAT_DELAY_MS
        gap_over = now - self._last_at >= self._gap_ms()
        if self._datagrams is None or not gap_over:
            self._wake.set()
            return
        self._send_state(self._endpoints.work_by_endpoint_id(), now)

    def group_rank(self):
        """Return this gateway's place among those that live and serve.

        By address, so that all that hear one another agree.
        """
        ready = [sign.ip for sign in self.table.live() if sign.ready]
        return store_polling.rank(self._settings.ip, ready)

    def send_update(self, update):
        """Tell the others what was read of the store."""
        raw = peer_messages.dump({"news": topic_updates.encode(update)})
        copies = UPDATE_COPIES if update.records or not update.whole else 1
        self._outbox.extend([raw] * copies)
        self._wake.set()

    def on_update(self, topic, take):
        """Hand what others read of a topic to ``take``."""
        self._apply_update_by_topic[topic] = take

    def take(self, record):
        """Take in a record of the gateways' topic."""
        if record.value is None:
            self.table.remove(record.key)
        else:
            self.table.register(record.key)

    async def register(self):
        """Put this gateway's address into the store, once."""
        client = store.Store(self._settings.store, self._now)
        known = None
        while True:
            try:
                # Only the first answer tells: an append without an answer may
                # have been this process's own.
                if known is None:
                    known = await client.newest(records.GATEWAYS_TOPIC)
                await client.append(
                    records.GATEWAYS_TOPIC, self._settings.ip, b"1"
                )
                break
            except errors.LogUnavailable as exc:
                _log.warning("not registered yet", why=exc.message)
                await anyio.sleep(clock.seconds(REGISTER_RETRY_MS))
        names = {record.key for record in known.records}
        self.is_first_process = self._settings.ip not in names
        _log.info(
            "registered",
            ip=self._settings.ip,
            is_first_process=self.is_first_process,
        )
        client.close()

    async def run(self):
        """Send and receive until cancelled."""
        self._datagrams = await datagrams.open_socket(
            self._settings.ip, self._settings.peer_port, self._receive
        )
        try:
            while True:
                self._send()
                await anyio.sleep(clock.seconds(self._gap_ms()))
                with anyio.move_on_after(clock.seconds(self._idle_wait_ms())):
                    await self._wake.wait()
                self._wake = anyio.Event()
        finally:
            self._datagrams.close()
            self._datagrams = None

    def _idle_wait_ms(self):
        """Return how long there is nothing to send unless work comes."""
        if self._repeat_at is None:
            return MAX_CHANGE_DELAY_MS
        return min(MAX_CHANGE_DELAY_MS, max(0, self._repeat_at - self._now()))

    def _gap_ms(self):
        return SEND_GAP_MS_PER_PEER * max(1, len(self._cell_peers()))

    def _cell_peers(self):
        return [
            ip
            for ip in self.table.ips
            if self._cell_membership.is_cell_gateway(ip)
        ]

    def _send(self):
        if self._outbox:
            raw = self._outbox.popleft()
            self._datagrams.send(raw, self._group())
        now = self._now()
        work = self._endpoints.work_by_endpoint_id()
        if self._is_due(work, now):
            self._send_state(work, now)
        if now - self._last_remote_at >= REMOTE_INTERVAL_MS:
            self._last_remote_at = now
            self._send_heartbeats(now)

    def _is_due(self, work, now):
        """Tell whether the others should hear of the work now."""
        if self._repeat_at is not None and now >= self._repeat_at:
            self._repeat_at = None
            return True
        is_old = now - self._last_at >= HEARTBEAT_INTERVAL_MS
        return is_old or work != self._last_work

    def _send_state(self, work, now):
        self._last_work = work
        self._last_at = now
        state = peer_messages.GatewayState(
            self._own_heartbeat(now),
            work,
            self._endpoints.unavailable_ms_by_endpoint_id(),
            self._endpoints.scales.estimate_by_service(),
        )
        message = {
            "state": peer_messages.encode_state(state, now),
            "read": self._endpoints.drain_prefills(),
            "changed": self._endpoints.drain_cache_changes(),
            "marks": self._crash_guard.message(),
        }
        raw = peer_messages.dump(message)
        if len(raw) > MAX_BYTES:
            _log.warning("state too large to tell", size=len(raw))
            return
        self._datagrams.send(raw, self._cell_peers())

    def _send_heartbeats(self, now):
        """Tell part of those outside the cell who lives in it."""
        cell_peers = set(self._cell_peers())
        remote = sorted(ip for ip in self.table.ips if ip not in cell_peers)
        turn = next(self._rounds) % REMOTE_ROUNDS
        if not remote[turn::REMOTE_ROUNDS]:
            return
        own = [self._own_heartbeat(now)]
        heard = [state.sign for state in self.table.states()]
        rows = [
            peer_messages.encode_heartbeat(sign, now) for sign in own + heard
        ]
        message = {
            "signs": rows,
            "marks": self._crash_guard.message(),
            "kept": self._endpoints.cache_holders.message(
                REMOTE_INTERVAL_MS * REMOTE_ROUNDS
            ),
        }
        raw = peer_messages.dump(message)
        self._datagrams.send(raw, remote[turn::REMOTE_ROUNDS])

    def _own_heartbeat(self, now):
        settings = self._settings
        return peer_messages.Heartbeat(
            settings.ip,
            settings.callers,
            settings.data_centre,
            self._is_ready(),
            now,
        )

    def _group(self):
        """Return those that are told what this gateway reads."""
        own = self._settings.ip
        ips = [sign.ip for sign in self.table.live()]
        return [ip for ip in store_polling.group(own, ips) if ip != own]

    def _receive(self, raw, ip):
        try:
            self._take_datagram(peer_messages.load(raw), ip)
        except (
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            OverflowError,
            RecursionError,
        ) as exc:
            # Anybody may send to this port.  An error here would end the
            # whole process.
            _log.warning("unreadable datagram", ip=ip, why=repr(exc))

    def _take_datagram(self, message, ip):
        now = self._now()
        if "state" in message:
            self._take_state(message, ip, now)
        for row in message.get("signs", ()):
            self.table.record_heartbeat(
                peer_messages.decode_heartbeat(row, now)
            )
        self._crash_guard.merge(message.get("marks", ()))
        self._endpoints.cache_holders.merge(message.get("kept", ()))
        # News decides which endpoints get work, so only gateways are
        # believed, not whoever sends to this port.
        if "news" in message and self.table.is_known(ip):
            self._apply_update(topic_updates.decode(message["news"]))

    def _take_state(self, message, ip, now):
        state = peer_messages.decode_state(message["state"], now)
        for endpoint_id, parts in message["read"]:
            self._endpoints.apply_peer_prefill(endpoint_id, parts)
        self._endpoints.apply_peer_cache_changes(message.get("changed", ()))
        for endpoint_id, ms in state.unavailable_ms_by_endpoint_id.items():
            self._endpoints.apply_unavailability(endpoint_id, ms)
        self.table.record_state(ip, state)

    def _apply_update(self, update):
        take = self._apply_update_by_topic.get(update.topic)
        if take is not None:
            take(update)
