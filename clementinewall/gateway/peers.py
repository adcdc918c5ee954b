"""The exchange of state between gateways by datagram.

Gateways of a cell send each other their work when it changes.  Heartbeats, and
what all gateways have to know, spread in rounds from each gateway to a few
others (see :mod:`clementinewall.gateway.heartbeat_rounds`).  Datagrams may
be lost or late and peers unreachable; no guarantee to callers depends on them.
"""

import asyncio
import contextlib

import anyio

from clementinewall import clock
from clementinewall import containment
from clementinewall import domain
from clementinewall.gateway import datagrams
from clementinewall.gateway import heartbeat_rounds
from clementinewall.gateway import listening
from clementinewall.gateway import peer_messages
from clementinewall.gateway import peer_table
from clementinewall.gateway import update_exchange
from clementinewall import logs

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
# After a change the state is repeated after this time, since datagrams get
# lost, and then each time after twice as long, up to the maximum.
REPEAT_INTERVAL_MS = 300
MAX_REPEAT_INTERVAL_MS = 9_600
MAX_BYTES = 60_000
# Unreadable datagrams of one sender are logged once in this time.
UNREADABLE_LOG_INTERVAL_MS = 10_000
MAX_UNREADABLE_SENDERS = 100
MAX_NAMES_LOGGED = 5


class Peers:
    """Sends and receives messages; the table holds what peers sent."""

    def __init__(
        self,
        settings,
        now,
        is_ready,
        endpoints,
        crash_guard,
        cell_membership,
        incarnation=1,
    ):
        """Send the work at ``endpoints``, and apply that of peers to them.

        New crash records of ``crash_guard`` go to the cell at once and to all
        gateways in rounds; ``is_ready`` returns whether callers may use this
        gateway.
        ``incarnation`` is a number that grows with each process here.
        """
        self._settings = settings
        self._now = now
        self._is_ready = is_ready
        self._endpoints = endpoints
        self._crash_guard = crash_guard
        self._cell_membership = cell_membership
        self.table = peer_table.PeerTable(settings.ip, now)
        # Whether the store lists no earlier process of this instance; None
        # until it has been asked.
        self.is_first_process = None
        self.updates = update_exchange.UpdateExchange(
            settings.ip, self.table, self.send_to, self.notify
        )
        self._rounds = heartbeat_rounds.HeartbeatRounds(
            settings,
            now,
            is_ready,
            self.table,
            incarnation,
            self.send_to,
            self._news,
        )
        # Takes the parts of a message that are the same from all gateways.
        self._take_by_key = {
            "signs": self._take_heartbeats,
            "marks": crash_guard.merge,
            "parts": crash_guard.merge_parts,
            "kept": endpoints.cache_holders.merge,
            "limits": endpoints.request_limits.merge,
        }
        # Called as ``take(message, ip)`` with what known gateways send.
        self.listeners = []
        # What else the state message has, by key: each returns plain data, or
        # None to leave its key out.
        self.source_by_key = {}
        # The same for what all gateways have to know.
        self.news_source_by_key = {}
        self._cell_ips = frozenset()
        self._last_content = None
        self._last_at = -REPEAT_INTERVAL_MS
        self._repeat_interval_ms = REPEAT_INTERVAL_MS
        self._repeat_at = None
        self._datagrams = None
        self._unreadable_until_by_ip = {}
        self._wake = anyio.Event()

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

    def take(self, record):
        """Apply a record of the gateways' topic, which all have to know."""
        if record.value is None:
            self.table.remove(record.key)
        elif peer_messages.is_address(record.key):
            self.table.register(record.key)
        else:
            # It would be looked up as the name of a host at each send.
            _log.warning(
                "registered gateway ignored; its key is no IPv4 address",
                key=record.key[: domain.MAX_TEXT],
                offset=record.offset,
            )
        return True

    def send_to(self, raw, ips):
        """Send a datagram to each of ``ips``, unless the socket is closed."""
        if self._datagrams is not None:
            self._datagrams.send(raw, ips)

    def _news(self):
        """Return what all gateways have to know besides heartbeats."""
        return {
            "marks": self._crash_guard.message(),
            "parts": self._crash_guard.parts_message(),
            "kept": self._endpoints.cache_holders.message(),
            "limits": self._endpoints.request_limits.message(),
            **_entries(self.news_source_by_key),
        }

    async def run(self):
        """Send and receive until cancelled."""
        self._datagrams = await listening.open_when_available(
            lambda: datagrams.open_socket(
                self._settings.ip, self._settings.peer_port, self._receive
            ),
            self._now,
        )
        try:
            while not self._datagrams.is_closed:
                self._send()
                await self._wait_for_work()
            raise OSError("the socket of the exchange with peers was closed")
        finally:
            self._datagrams.close()
            self._datagrams = None

    async def _wait_for_work(self):
        """Wait until there may be something to send, and for the gap."""
        gap_end = self._now() + self._gap_ms()
        limit_ms = max(self._gap_ms(), self._idle_wait_ms())
        # A timer costs less than a time limit, whose end is an exception.
        timer = asyncio.get_running_loop().call_later(
            clock.seconds(limit_ms), self._wake.set
        )
        try:
            await self._wake.wait()
        finally:
            timer.cancel()
        gap_left_ms = gap_end - self._now()
        if gap_left_ms > 0:
            await anyio.sleep(clock.seconds(gap_left_ms))
        self._wake = anyio.Event()

    def _idle_wait_ms(self):
        """Return how long to wait for new work before the next send."""
        now = self._now()
        ends = [now + MAX_CHANGE_DELAY_MS, self._rounds.next_at]
        if self._repeat_at is not None:
            ends.append(self._repeat_at)
        return max(0, min(ends) - now)

    def _gap_ms(self):
        return SEND_GAP_MS_PER_PEER * max(1, len(self._cell_ips))

    def _cell_peers(self):
        return frozenset(
            ip
            for ip in self.table.ips
            if self._cell_membership.is_cell_gateway(ip)
        )

    def _update_cell(self):
        """Return the peers of the cell that lack this gateway's state."""
        ips = self._cell_peers()
        arrivals = self.table.take_arrivals()
        if arrivals:
            _log.info(
                "peers heard",
                peers=len(arrivals),
                first=sorted(arrivals)[:MAX_NAMES_LOGGED],
            )
        if ips != self._cell_ips:
            # Those that left the cell send their state no more.
            self.table.keep_states(ips)
        lacking = (arrivals | (ips - self._cell_ips)) & ips
        self._cell_ips = ips
        return lacking

    def _send(self):
        """Send what is due; heartbeats don't depend on all the rest."""
        with containment.contained(_log, "a message to peers"):
            self._send_changes()
        with containment.contained(_log, "a round of heartbeats"):
            self._rounds.send_if_due()

    def _send_changes(self):
        self.updates.send_next()
        now = self._now()
        lacking = self._update_cell()
        work = self._endpoints.work_by_endpoint_id()
        if self._is_due(work, now):
            self._send_state(work, now)
        elif lacking:
            self.send_to(self._state_message(work, now), lacking)

    def _is_due(self, work, now):
        """Return whether the state has to be sent to the peers now."""
        if self._repeat_at is not None and now >= self._repeat_at:
            self._repeat_at = None
            return True
        if self._content(work) != self._last_content:
            return True
        if self._crash_guard.has_unsent_records:
            return True
        waited_ms = now - self._last_at
        if self._endpoints.has_unsent_changes:
            return waited_ms >= REPEAT_INTERVAL_MS
        return waited_ms >= self._repeat_interval_ms

    def _content(self, work):
        """Return what peers must know at once when it changes."""
        return work, set(self._endpoints.unavailable_ms_by_endpoint_id())

    def _send_state(self, work, now):
        content = self._content(work)
        self._repeat_interval_ms = min(
            2 * self._repeat_interval_ms, MAX_REPEAT_INTERVAL_MS
        )
        if content != self._last_content:
            self._repeat_interval_ms = REPEAT_INTERVAL_MS
        self._last_content = content
        self._last_at = now
        raw = self._state_message(
            work,
            now,
            self._endpoints.drain_prefills(),
            self._endpoints.drain_cache_changes(),
            self._crash_guard.drain_records(),
            self._crash_guard.drain_parts(),
            self._endpoints.speeds.rows_to_send(),
        )
        if len(raw) > MAX_BYTES:
            _log.warning(
                "state exceeds the datagram limit; not sent", size=len(raw)
            )
            return
        self.send_to(raw, self._cell_peers())

    def _state_message(
        self,
        work,
        now,
        prefills=(),
        cache_changes=(),
        crash_records=(),
        parts=None,
        speed_rows=(),
    ):
        heartbeat = peer_messages.Heartbeat(
            self._settings.ip,
            self._settings.callers,
            self._settings.data_centre,
            self._is_ready(),
            now,
        )
        state = peer_messages.GatewayState(
            heartbeat,
            work,
            self._endpoints.unavailable_ms_by_endpoint_id(),
            self._endpoints.scales.estimate_by_service(),
            speed_rows,
        )
        message = {
            "state": peer_messages.encode_state(state, now),
            "beats": self._rounds.own_beat(),
            "read": prefills,
            "changed": cache_changes,
            "marks": crash_records,
            "parts": parts or {},
        }
        message.update(_entries(self.source_by_key))
        return peer_messages.dump(message)

    def _receive(self, raw, ip):
        with self._unreadable_logged(ip):
            self._take_datagram(peer_messages.load(raw), raw, ip)

    @contextlib.contextmanager
    def _unreadable_logged(self, ip):
        """Log what can't be read of a datagram.

        Any host may send to this port, and another build may say something
        that isn't known here.
        """
        try:
            yield
        except Exception as exc:
            self._log_unreadable(ip, exc)

    def _log_unreadable(self, ip, exc):
        """Log an unreadable datagram, unless one of its sender was just."""
        now = self._now()
        until_by_ip = self._unreadable_until_by_ip
        if now < until_by_ip.get(ip, now):
            return
        if len(until_by_ip) >= MAX_UNREADABLE_SENDERS:
            until_by_ip.clear()
        until_by_ip[ip] = now + UNREADABLE_LOG_INTERVAL_MS
        _log.warning("unreadable datagram", ip=ip, why=repr(exc))

    def _take_datagram(self, message, raw, ip):
        now = self._now()
        was_silent = not self.table.is_live(ip)
        with self._unreadable_logged(ip):
            self._rounds.take(message, ip)
        if "state" in message:
            with self._unreadable_logged(ip):
                self._take_state(message, ip, now)
        for key, take in self._take_by_key.items():
            if key in message:
                with self._unreadable_logged(ip):
                    take(message[key])
        with self._unreadable_logged(ip):
            self.updates.take(message, raw, ip)
        if self.table.is_known(ip):
            for take in self.listeners:
                with self._unreadable_logged(ip):
                    take(message, ip)
        if was_silent and self.table.is_live(ip):
            # It may just have started, and know nobody.
            self._rounds.welcome(ip)

    def _take_heartbeats(self, rows):
        now = self._now()
        for row in rows:
            self.table.record_heartbeat(
                peer_messages.decode_heartbeat(row, now)
            )

    def _take_state(self, message, ip, now):
        state = peer_messages.decode_state(message["state"], now)
        for endpoint_id, parts in message["read"]:
            self._endpoints.apply_peer_prefill(endpoint_id, parts)
        self._endpoints.apply_peer_cache_changes(message.get("changed", ()))
        for endpoint_id, ms in state.unavailable_ms_by_endpoint_id.items():
            self._endpoints.apply_unavailability(endpoint_id, ms)
        self._endpoints.speeds.take(ip, state.speed_rows, self._endpoints.find)
        self.table.record_state(ip, state)


def _entries(source_by_key):
    """Return the entries of a message that its sources have data for."""
    data_by_key = {key: source() for key, source in source_by_key.items()}
    return {key: data for key, data in data_by_key.items() if data is not None}
