"""Which requests customers' keys allow."""

import unittest

from clementinewall.access import authorization
from clementinewall import domain
from clementinewall import errors
from clementinewall.http1 import messages
from clementinewall.http1 import server
from clementinewall.platform import calls

CUSTOMER = domain.Customer("harbour", 2)
ROUTE = domain.Route(
    "r",
    "h.example",
    "/a/",
    domain.SAFE,
    (domain.Share("app", 1.0),),
    3_000,
    400,
    400,
    1,
    2,
    False,
)
ENDPOINT = domain.Endpoint("i-1", "app", "10.0.0.2:1", "a", 4, False, None, 0)


def configuration(customer_by_key):
    """Return a configuration with these customers."""
    return domain.Configuration(1, {}, {}, server.Limits(), customer_by_key)


def decode(*headers):
    """Return the call of a request with these headers besides its own."""
    own = ((b"Host", b"h.example"), (b"Attempt-Id", b"a1"))
    return calls.decode(messages.Request(b"GET", b"/a/1", own + headers, b""))


class Authorization(unittest.TestCase):
    """Requests with and without keys, and what endpoints get of them."""

    def forwarded(self, call):
        """Return the headers that an endpoint gets, names in lower case."""
        request = calls.run_request(call, ENDPOINT, 1_000)
        return [(name.lower(), value) for name, value in request.headers]

    def authorize(self, *headers, route=ROUTE, customers=None):
        """Return the call as authorized where one customer has a key."""
        customers = {"k1": CUSTOMER} if customers is None else customers
        return authorization.authorize(
            configuration(customers), route, decode(*headers)
        )

    def test_endpoints_get_the_customer_and_not_the_key(self):
        # The key itself reaches an endpoint, whose operators then hold it, or
        # the endpoint trusts the name that a caller gave itself.
        for forged in ((), ((b"tenant", b"other"), (b"TENANT", b"more"))):
            call = self.authorize((b"Credential", b" k1 "), *forged)
            self.assertEqual(CUSTOMER, call.customer)
            found = self.forwarded(call)
            names = [name for name, _ in found]
            self.assertNotIn(b"credential", names)
            self.assertEqual(1, names.count(b"tenant"))
            self.assertIn((b"tenant", b"harbour"), found)

    def test_keys_that_no_customer_has_are_refused(self):
        # A request of nobody runs, or its refusal doesn't say that it has not
        # run.
        for headers in (
            (),
            ((b"Credential", b""),),
            ((b"Credential", b"k2"),),
            ((b"Credential", b"K1"),),
            ((b"Credential", b"k1,k1"),),
            ((b"Credential", b"\xff\x00"),),
            ((b"Tenant", b"harbour"),),
            ((b"Credential", b"k1"), (b"credential", b"k2")),
            ((b"Credential", b"k1\xa0"),),
        ):
            with self.subTest(headers):
                with self.assertRaises(errors.UnknownKey) as caught:
                    self.authorize(*headers)
                self.assertEqual(401, caught.exception.status)
                self.assertEqual("not_run", caught.exception.verdict.value)

    def test_a_deployment_whose_last_customer_left_serves_nobody(self):
        with self.assertRaises(errors.UnknownKey):
            self.authorize((b"Credential", b"k1"), customers={})

    def test_open_routes_need_no_key_and_pass_none_on(self):
        route = ROUTE._replace(is_public=True)
        call = self.authorize(
            (b"Credential", b"k1"), (b"Tenant", b"x"), route=route
        )
        self.assertIsNone(call.customer)
        names = [name for name, _ in self.forwarded(call)]
        self.assertNotIn(b"credential", names)
        self.assertNotIn(b"tenant", names)

    def test_without_customers_headers_stay_as_they_are(self):
        # A deployment without customers may use these headers itself.
        call = decode((b"Credential", b"k1"), (b"Tenant", b"x"))
        found = authorization.authorize(configuration(None), ROUTE, call)
        self.assertIs(call, found)
        names = [name for name, _ in self.forwarded(found)]
        self.assertIn(b"credential", names)


if __name__ == "__main__":
    unittest.main()
