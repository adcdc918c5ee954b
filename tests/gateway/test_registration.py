"""The registration of a gateway's address."""

import unittest

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import registration
from clementinewall.platform import store

SETTINGS = domain.Settings(
    "i", "10.0.0.1", "a", "", "", "", 1, "10.0.0.9:1", domain.Bounds()
)


class Topic:
    """The topic of gateways."""

    def __init__(self, *ips):
        """Start with registered addresses."""
        self._records = tuple(store.Record(ip, b"1", 0) for ip in ips)
        self.appended = []

    async def newest(self, _topic):
        """Return the registered addresses."""
        return store.Batch(self._records, 7)

    async def append(self, _topic, key, _value):
        """Keep an address."""
        self.appended.append(key)

    def close(self):
        """Do nothing."""


class Registrations(unittest.TestCase):
    """One start of a process."""

    def register(self, topic):
        """Register; return what was found."""
        registrar = registration.Registrar(SETTINGS, clock.Clock().now)
        registrar._store = topic

        async def run():
            found = await registrar.read()
            await registrar.register(found)
            return found

        return anyio.run(run)

    def test_a_new_address_is_written(self):
        topic = Topic("10.0.0.2")
        found = self.register(topic)
        self.assertTrue(found.is_first_process)
        self.assertEqual(topic.appended, ["10.0.0.1"])

    def test_an_address_that_is_registered_is_not_written_again(self):
        # Guards against a write of each gateway when all start again.
        topic = Topic("10.0.0.2", "10.0.0.1")
        found = self.register(topic)
        self.assertFalse(found.is_first_process)
        self.assertEqual(topic.appended, [])
        self.assertEqual(found.known.end, 7)


if __name__ == "__main__":
    unittest.main()
