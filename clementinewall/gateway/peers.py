"""The exchange of state between gateways by datagram.

Gateways of a cell send each other their work several times a second; other
gateways get heartbeats.  Datagrams may be lost or late and peers unreachable;
no guarantee to callers depends on this exchange.
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

# New prompts are announced at once; otherwise all prompts placed meanwhile
# would go to the engine that seems least loaded.  The gap between two sends
# grows with the number of peers, which bounds the datagrams per second.
SEND_GAP_MS_PER_PEER = 2
# Finished work and new streams are announced after this time at the latest.
# Peers predict by themselves when a prefill ends.
MAX_CHANGE_DELAY_MS = 200
# The body of a prompt whose prefill takes so long saturates a slow link, and
# datagrams on a saturated link are lost.  Such a prompt is announced again.
LONG_PREFILL_MS = 40
REPEAT_DELAY_MS = 60
# Without a change the state is sent at this interval, as a heartbeat.
HEARTBEAT_INTERVAL_MS = 300
# A gateway outside the cell gets heartbeats from this one once in so many
# rounds, and in each round from others of this cell, with the same content.
REMOTE_INTERVAL_MS = 500
REMOTE_ROUNDS = 4
REGISTER_RETRY_MS = 1_000
MAX_BYTES = 60_000
# Datagrams get lost, so an update with a change is sent this many times.  The
# next update, half a second later or more, repeats it as well.
UPDATE_COPIES = 2


class Peers:
    """Sends and receives messages; the table holds what peers sent."""

    def __init__(
        self, settings, now, is_ready, endpoints, crash_guard, cell_membership
    ):
        """Send the work at ``endpoints``, and apply that of peers to them.

        The crash records of ``crash_guard`` go with each message, and
        ``is_ready`` returns whether callers may use this gateway.
        """
        self._settings = settings
        self._now = now
        self._is_ready = is_ready
        self._endpoints = endpoints
        self._crash_guard = crash_guard
        self._cell_membership = cell_membership
        self.table = peer_table.PeerTable(settings.ip, now)
        # Whether the store lists no earlier process of this instance.
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
        """Send changes to the peers soon."""
        self._wake.set()

    def announce_prompt(self, job):
        """Announce a new prompt to the peers before its body is sent.

        On a slow link a datagram sent after the body may be lost, and peers
        would take the engine for idle until the next one.
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
        """Return this gateway's rank among those that are alive and ready.

        The order is by address, so that gateways with the same view agree.
        """
        ready = [
            heartbeat.ip for heartbeat in self.table.live() if heartbeat.ready
        ]
        return store_polling.rank(self._settings.ip, ready)

    def send_update(self, update):
        """Send the peers of the group what was read of the store."""
        raw = peer_messages.dump({"news": topic_updates.encode(update)})
        copies = UPDATE_COPIES if update.records or not update.whole else 1
        self._outbox.extend([raw] * copies)
        self._wake.set()

    def on_update(self, topic, take):
        """Call ``take`` with the updates that peers send for a topic."""
        self._apply_update_by_topic[topic] = take

    def take(self, record):
        """Apply a record of the gateways' topic."""
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
                # Only the first answer counts: later ones may hold an append
                # of this process whose answer was lost.
                if known is None:
                    known = await client.newest(records.GATEWAYS_TOPIC)
                await client.append(
                    records.GATEWAYS_TOPIC, self._settings.ip, b"1"
                )
                break
            except errors.LogUnavailable as exc:
                _log.warning("registration failed; retrying", why=exc.message)
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
        """Return how long to wait for new work before the next send."""
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
        """Return whether the work has to be sent to the peers now."""
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
            _log.warning(
                "state exceeds the datagram limit; not sent", size=len(raw)
            )
            return
        self._datagrams.send(raw, self._cell_peers())

    def _send_heartbeats(self, now):
        """Send the cell's heartbeats to a part of the gateways outside it."""
        cell_peers = set(self._cell_peers())
        remote = sorted(ip for ip in self.table.ips if ip not in cell_peers)
        turn = next(self._rounds) % REMOTE_ROUNDS
        if not remote[turn::REMOTE_ROUNDS]:
            return
        own = [self._own_heartbeat(now)]
        heard = [state.heartbeat for state in self.table.states()]
        rows = [
            peer_messages.encode_heartbeat(heartbeat, now)
            for heartbeat in own + heard
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
        """Return the peers that get the updates this gateway reads."""
        own = self._settings.ip
        ips = [heartbeat.ip for heartbeat in self.table.live()]
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
            # Any host may send to this port.  An uncaught error here would
            # end the process.
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
        # Updates decide which endpoints get work, so they are accepted only
        # from known gateways.
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
