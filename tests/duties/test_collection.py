"""What gateways hand over to those that may act for all."""

import json
import unittest

from clementinewall import domain
from clementinewall.duties import collection

OWN, OTHER = "10.0.0.1", "10.0.0.2"
SETTINGS = domain.Settings(
    "i", OWN, "a", "", "", "", 1, "10.0.0.9:1", domain.Bounds()
)


class FakeHolder:
    """Both gateways are candidates."""

    def candidates(self):
        """Return their addresses."""
        return OWN, OTHER


class Part:
    """A source and sink that records what it gets."""

    def __init__(self):
        """Start with nothing."""
        self.taken = []
        self.confirmed = []

    def messages(self, ip):
        """Return two messages."""
        return [[ip, 1], [ip, 2]]

    def confirm(self, ip, data):
        """Record a reply."""
        self.confirmed.append((ip, data))

    def take(self, ip, data):
        """Record a message and reply."""
        self.taken.append((ip, data))
        return ["reply", *data]


class Collections(unittest.TestCase):
    """One gateway of two."""

    def setUp(self):
        """Add a part that is source and sink."""
        self.sent = []
        self.part = Part()
        self.collection = collection.Collection(
            SETTINGS,
            FakeHolder(),
            lambda raw, ips: self.sent.append((raw, tuple(ips))),
        )
        self.collection.add("part", self.part, self.part)

    def test_each_message_is_a_datagram_of_its_own(self):
        # Guards against datagrams that are too large.
        self.collection.send()
        self.assertEqual([ips for _, ips in self.sent], [(OTHER,)] * 2)

    def test_own_counts_are_taken_in_without_a_datagram(self):
        # Guards against a candidate that lacks its own counts.
        self.collection.send()
        self.assertEqual(self.part.taken, [(OWN, [OWN, 1]), (OWN, [OWN, 2])])
        self.assertEqual(self.part.confirmed[0], (OWN, ["reply", OWN, 1]))

    def test_message_gets_a_reply_and_a_reply_gets_none(self):
        # Guards against datagrams that answer each other for ever.
        self.collection.take({"collect": {"part": [1]}}, OTHER)
        self.assertEqual(len(self.sent), 1)
        self.assertEqual(self.sent[0][1], (OTHER,))
        self.collection.take({"collected": {"part": [2]}}, OTHER)
        self.assertEqual(len(self.sent), 1)
        self.assertEqual(self.part.confirmed, [(OTHER, [2])])

    def test_parts_that_this_gateway_lacks_are_ignored(self):
        # Guards against a failure beside gateways with more duties.
        self.collection.take({"collect": {"new": [1]}}, OTHER)
        self.collection.take({"collected": {"new": [1]}}, OTHER)
        self.collection.take(json.loads("{}"), OTHER)
        self.assertEqual((self.sent, self.part.taken), ([], []))
