"""Sending and receiving what one gateway reads of the store for its group."""

import collections

from clementinewall.gateway import peer_messages
from clementinewall.gateway import topic_updates
from clementinewall import logs
from clementinewall.policy import dissemination

_log = logs.PartLog("peers")

# Larger updates would delay the answers of a gateway on a thin link.
MAX_RELAY_BYTES = 8_000
# Datagrams get lost, so an update with a change is sent this many times.  The
# next update, half a second later or more, repeats it as well.
UPDATE_COPIES = 2


class UpdateExchange:
    """Sends updates to the group of this gateway, and hands on theirs."""

    def __init__(self, own_ip, table, send, notify):
        """Send to the group that ``table`` knows.

        ``send(raw, ips)`` sends a datagram at once, ``notify()`` has
        ``send_next`` called soon.
        """
        self._own_ip = own_ip
        self._table = table
        self._send = send
        self._notify = notify
        self._outbox = collections.deque()
        self._apply_update_by_topic = {}
        self._relayed_end_by_topic = {}

    def group_rank(self):
        """Return this gateway's rank in its group."""
        return self._table.group_rank()

    def on_update(self, topic, take):
        """Call ``take`` with the updates that peers send for a topic."""
        self._apply_update_by_topic[topic] = take

    def send_update(self, update):
        """Send the group what was read of the store."""
        raw = peer_messages.dump({"news": topic_updates.encode(update)})
        copies = UPDATE_COPIES if update.records or not update.whole else 1
        self._outbox.extend([raw] * copies)
        self._notify()

    def send_next(self):
        """Send the next of the waiting messages."""
        if self._outbox:
            self._send(self._outbox.popleft(), self._table.group())

    def relay_update(self, update):
        """Send a large update to the group, by way of each other."""
        raw = peer_messages.dump(
            {"relay": topic_updates.encode(update), "origin": self._own_ip}
        )
        if len(raw) > MAX_RELAY_BYTES:
            _log.info(
                "update too large to relay, all gateways read it",
                topic=update.topic,
                size=len(raw),
            )
            return
        self._relay(raw, update, self._own_ip)

    def _relay(self, raw, update, origin):
        """Pass a large update on to this gateway's children in the tree."""
        if self._relayed_end_by_topic.get(update.topic, -1) >= update.end:
            return
        self._relayed_end_by_topic[update.topic] = update.end
        targets = dissemination.children(
            self._own_ip, origin, self._table.group()
        )
        self._send(raw, targets)

    def take(self, message, raw, ip):
        """Hand on the updates in a message, and relay a large one.

        Updates decide which endpoints get work, so they are accepted only
        from known gateways.

        :raises KeyError, TypeError, ValueError: if malformed.
        """
        if not self._table.is_known(ip):
            return
        if "news" in message:
            self._apply(topic_updates.decode(message["news"]))
        if "relay" in message:
            update = topic_updates.decode(message["relay"])
            self._apply(update)
            self._relay(raw, update, str(message["origin"]))

    def _apply(self, update):
        take = self._apply_update_by_topic.get(update.topic)
        if take is not None:
            take(update)
