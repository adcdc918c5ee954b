"""Decoding callers' requests and building requests to endpoints."""

import unittest

from clementinewall import domain
from clementinewall import errors
from clementinewall.http1 import messages
from clementinewall.platform import cache_calls
from clementinewall.platform import calls

HEADERS = (
    (b"Host", b"Shop.Example:80"),
    (b"Attempt-Id", b"a1"),
    (b"Model", b"m"),
    (b"Token-Usage", b"1460,80"),
    (b"Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"Deadline-Ms", b"5000"),
)
# Headers that callers may not set: they would choose engines, jump queues or
# continue from the KV cache of another caller's prompt.
FORGED = (
    (b"KV-Fetch", b"10.0.0.9:1"),
    (b"kv-source", b"10.0.0.9:1/abc"),
    (b"Kv-Hold", b"h"),
    (b"Kv-Backup", b"10.0.0.9:1"),
    (b"Pin-Ms", b"4000"),
    (b"Stage", b"prefill"),
    (b"Request-Priority", b"0"),
    (b"Expect-Instance", b"i-0"),
)


def engine(name):
    """Return an engine whose address is its name."""
    return domain.Endpoint(
        name, "model", f"{name}:1", "a", 16, False, domain.PREFILL, 1
    )


def decode(*more):
    """Decode a caller's request with further headers."""
    return calls.decode(
        messages.Request(b"POST", b"/chat/x?y=1", HEADERS + more, b"body")
    )


def values(request, name):
    """Return all values of a header of a request."""
    return [v for k, v in request.headers if k.lower() == name]


class Decode(unittest.TestCase):
    """Decoding of callers' requests."""

    def test_fields_are_decoded(self):
        call = decode()
        self.assertEqual(call.host, "shop.example")
        self.assertEqual(call.path, "/chat/x")
        self.assertEqual(call.wait_ms, 5_000)
        self.assertEqual(call.prompt.tokens_out, 80)
        self.assertEqual(
            [part.tokens for part in call.prompt.parts], [800, 410, 250]
        )

    def test_what_a_call_takes_up_is_decoded(self):
        call = decode((b"Resumes", b"a1"), (b"Last-Event-Id", b"4"))
        self.assertEqual((call.resumes, call.resume_after), ("a1", 4))
        self.assertTrue(call.takes_up)
        self.assertFalse(decode().takes_up)
        self.assertFalse(decode((b"Last-Event-Id", b"0")).takes_up)

    def test_missing_attempt_id_or_host_is_refused(self):
        for missing in (b"Attempt-Id", b"Host"):
            headers = tuple(row for row in HEADERS if row[0] != missing)
            with self.assertRaises(errors.BadRequest):
                calls.decode(messages.Request(b"GET", b"/", headers))


class ToEngines(unittest.TestCase):
    """Building of requests to engines."""

    def test_reserved_headers_of_callers_are_dropped(self):
        call = decode(*FORGED)
        sent = calls.run_request(call, engine("e1"), 4_000)
        for name, value in FORGED:
            self.assertNotIn(value, values(sent, name.lower()))
        self.assertEqual(values(sent, b"expect-instance"), [b"e1"])
        self.assertEqual(values(sent, b"deadline-ms"), [b"4000"])

    def test_prompt_headers_target_and_body_are_forwarded(self):
        sent = calls.run_request(decode(), engine("e1"), 4_000)
        for name in (b"model", b"token-usage", b"prompt-prefix"):
            self.assertEqual(values(sent, name), [dict(_lower(HEADERS))[name]])
        self.assertEqual((sent.target, sent.body), (b"/chat/x?y=1", b"body"))

    def test_sizes_that_are_no_numbers_name_no_parts(self):
        # Guards against a caller whose request is closed without an answer.
        for size in ("²", "٣", "-1", "1e3", "9" * 400, ""):
            value = f"5c1e:{size},91bd:7".encode("latin-1", "replace")
            headers = tuple(
                (name, value if name == b"Prompt-Prefix" else known)
                for name, known in HEADERS
            )
            request = messages.Request(b"POST", b"/chat/x", headers, b"")
            found = calls.decode(request).prompt.parts
            self.assertEqual(found, (domain.PromptPart("91bd", 7),))

    def test_fetch_source_is_sent_only_if_given(self):
        call = decode()
        holder = engine("keeper")
        for sent in (
            calls.prefill_request(call, engine("e1"), 4_000, 2, holder),
            calls.run_request(call, engine("e1"), 4_000, source=holder),
        ):
            self.assertEqual(values(sent, b"kv-fetch"), [b"keeper:1"])
        plain = calls.prefill_request(call, engine("e1"), 4_000, 2)
        self.assertEqual(values(plain, b"kv-fetch"), [])

    def test_expired_deadline_is_sent_as_one_millisecond(self):
        sent = calls.run_request(decode(), engine("e1"), -3)
        self.assertEqual(values(sent, b"deadline-ms"), [b"1"])


def _lower(headers):
    return [(name.lower(), value) for name, value in headers]


class Rest(unittest.TestCase):
    """Decoding of the span for which an endpoint wants no requests."""

    def rest_ms(self, value, status=503):
        """Return the span that an answer asks for."""
        headers = ((b"Retry-After", value),)
        return calls.decode_rest_ms(messages.Head(status, b"", headers))

    def test_seconds_may_have_fractions(self):
        self.assertEqual(self.rest_ms(b"3"), 3_000)
        self.assertEqual(self.rest_ms(b" 0.25 "), 250)

    def test_only_a_refusal_asks_for_rest(self):
        self.assertEqual(self.rest_ms(b"3", 200), 0)
        head = messages.Head(503, b"", ())
        self.assertEqual(calls.decode_rest_ms(head), 0)

    def test_a_long_span_is_bounded(self):
        self.assertEqual(self.rest_ms(b"1e9"), calls.MAX_REST_MS)

    def test_malformed_spans_are_bad_records(self):
        for value in (b"", b"-1", b"nan", b"inf", b"Wed, 21 Oct 2026"):
            with self.subTest(value=value):
                with self.assertRaises(errors.BadRecord):
                    self.rest_ms(value)


class Leaving(unittest.TestCase):
    """Answers of endpoints that report that they leave."""

    def reports_leaving(self, status, *headers):
        """Return what is decoded from the head of an answer."""
        return calls.reports_leaving(messages.Head(status, b"", headers))

    def test_each_kind_of_answer_may_report_it(self):
        for status in (200, 404, 500, 503):
            with self.subTest(status=status):
                header = (b"Server-Leaving", b"1")
                self.assertTrue(self.reports_leaving(status, header))

    def test_other_values_report_nothing(self):
        self.assertFalse(self.reports_leaving(200))
        for value in (b"", b"0", b"soon"):
            header = (b"Server-Leaving", value)
            self.assertFalse(self.reports_leaving(200, header))

    def test_another_endpoint_at_the_address_reports_only_of_itself(self):
        # Guards against a new endpoint that is left alone for the old one.
        header = (b"Server-Leaving", b"1")
        self.assertFalse(self.reports_leaving(421, header))


class RequestLimit(unittest.TestCase):
    """How many requests a second an endpoint takes."""

    def decode(self, value, status=200):
        """Return the limit in an answer with this value."""
        head = messages.Head(status, b"", ((b"Server-Limit", value),))
        return calls.decode_request_limit(head)

    def test_numbers_may_have_fractions(self):
        self.assertEqual(self.decode(b"5.8"), 5.8)
        self.assertEqual(self.decode(b"0", 503), 0)

    def test_an_answer_without_the_header_names_none(self):
        head = messages.Head(200, b"", ())
        self.assertIsNone(calls.decode_request_limit(head))

    def test_malformed_limits_are_bad_records(self):
        # Guards against endpoints that are excluded by a mistaken value.
        for value in (b"", b"-1", b"nan", b"inf", b"five", b"5,8"):
            with self.assertRaises(errors.BadRecord):
                self.decode(value)


class Caches(unittest.TestCase):
    """Decoding of engines' lists of cached prompt parts."""

    def test_complete_list(self):
        body = b'{"epoch":"x","next":7,"held":[["","5c1e",800,"m"]]}'
        found = cache_calls.decode_cached_parts(body)
        part = domain.PromptPart("5c1e", 800)
        self.assertEqual(found, domain.CacheChange("x", 7, (part,)))

    def test_changes(self):
        body = (
            b'{"epoch":"x","next":9,"lost":true,"events":'
            b'[[7,"+","","5c1e",800,"m"],[8,"-","","5c1e",0,"m"]]}'
        )
        found = cache_calls.decode_cache_changes(body)
        self.assertEqual([part.tokens for part in found.parts], [800, 0])
        self.assertTrue(found.is_gap)

    def test_malformed_body_is_a_bad_record(self):
        bodies = (
            b"",
            b"[]",
            b"{}",
            b'{"epoch":1,"next":"x","held":[]}',
            b'{"epoch":1,"next":1e999,"held":[],"events":[],"lost":false}',
            b'{"epoch":1,"next":1,"held":[["","a"]],"events":[1],"lost":0}',
        )
        for body in bodies:
            with self.subTest(body=body):
                with self.assertRaises(errors.BadRecord):
                    cache_calls.decode_cached_parts(body)
                with self.assertRaises(errors.BadRecord):
                    cache_calls.decode_cache_changes(body)
