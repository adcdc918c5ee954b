"""What others write into the store or answer: decoded, or refused whole."""

import contextlib
import json
import socket
import time
import unittest

import h11
import hypothesis
from hypothesis import strategies as st

from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import fleet_view
from clementinewall.gateway import peer_messages
from clementinewall.gateway import topic_updates
from clementinewall.platform import cache_calls
from clementinewall.platform import calls
from clementinewall.platform import records
from clementinewall.platform import store

NOW = 1_000_000
NUMBERS = st.one_of(
    st.integers(),
    st.sampled_from((0, -1, 2**31, 2**53, 2**63, 2**70, 10**400)),
    st.floats(),
)
TEXTS = st.one_of(
    st.text(max_size=12),
    st.sampled_from(
        ("\ud800", "a\r\nb: c", "x" * 100_000, "٣", "\x00", " a ", "é")
    ),
)
NESTED = st.sampled_from((100, 400, 900, 5_000)).map(
    lambda depth: "[" * depth + "]" * depth
)
VALUES = (
    st.one_of(
        st.none(), st.booleans(), NUMBERS, TEXTS, st.lists(TEXTS, max_size=2)
    ).map(json.dumps)
    | NESTED
)
PORTS = st.one_of(
    st.integers(-1, 70_000).map(str), st.sampled_from(("٩", "9٩", "²", ""))
)
HOSTS = st.sampled_from(
    ("10.0.0.1", "::1", "::1%\ufffd", "fe80::1%" + "x" * 300, "::ffff:1.2.3.4")
)
ADDRESSES = st.builds("{}:{}".format, HOSTS, PORTS).map(json.dumps)
ENTRY = {
    "service": '"model"',
    "address": '"10.0.0.1:80"',
    "zone": '"a"',
    "version": '"v1"',
    "slot_count": "16",
    "state": '"ready"',
    "stage": '"decode"',
    "born": "1000",
}
CHANGED = st.dictionaries(
    st.sampled_from((*ENTRY, "other")), VALUES | ADDRESSES, max_size=3
)
IDS = st.one_of(st.just("engine-1"), TEXTS)
CALL = domain.Call(
    attempt="a1",
    method=b"POST",
    target=b"/chat/x",
    host="shop.example",
    path="/chat/x",
    headers=((b"Host", b"shop.example"),),
    body=b"",
    wait_ms=1_000,
    resume_after=None,
    prompt=None,
)


def entry(fields):
    """Return the JSON of an entry with some fields replaced."""
    rows = {**ENTRY, **fields}.items()
    return ("{%s}" % ",".join(f'"{k}":{v}' for k, v in rows)).encode()


def examples(count):
    """Return settings for as many examples, the same ones in each run."""
    return hypothesis.settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )


class EndpointRecords(unittest.TestCase):
    """An entry names an endpoint whose every field can be used, or none."""

    @examples(400)
    @hypothesis.given(IDS, CHANGED)
    def test_a_decoded_endpoint_can_be_used_everywhere(self, name, fields):
        # Guards against entries that end a gateway where their fields act.
        try:
            found = records.endpoint(name, entry(fields))
        except errors.BadRecord:
            return
        self.assertTrue(found.address.isascii())
        for request in (
            calls.run_request(CALL, found, 1_000, source=found),
            calls.stage_order(found, domain.PREFILL, "10.0.0.2", 1, 0),
        ):
            h11.Request(
                method=request.method,
                target=request.target,
                headers=list(request.headers),
            )
        peer_messages.dump({"work": {found.id: found}})
        self.assertEqual(found, records.endpoint(name, entry(fields)))
        for text in (found.id, found.service, found.version):
            self.assertLessEqual(len(text), domain.MAX_TEXT)

    @examples(300)
    @hypothesis.given(ADDRESSES)
    def test_a_decoded_address_can_be_connected_to(self, address):
        # Guards against addresses that only a resolver of names refuses.
        try:
            found = records.endpoint("engine-1", entry({"address": address}))
        except errors.BadRecord:
            return
        host, _, port = found.address.rpartition(":")
        is_ipv6 = ":" in host
        socket.inet_pton(socket.AF_INET6 if is_ipv6 else socket.AF_INET, host)
        self.assertIn(int(port.encode("ascii")), range(1, 65_536))

    @examples(200)
    @hypothesis.given(st.lists(st.tuples(IDS, CHANGED), max_size=4))
    def test_one_entry_never_costs_another(self, rows):
        # Guards against a list that is given up for one of its entries.
        view = fleet_view.FleetView(lambda: NOW)
        for offset, (name, fields) in enumerate(rows):
            row = store.Record(name, entry(fields), offset)
            view.apply_endpoint(row)
        born = json.dumps(int(time.time() * 1_000))
        sound = store.Record("engine-1", entry({"born": born}), len(rows))
        view.apply_endpoint(sound)
        self.assertIn("engine-1", view.endpoint_by_id)

    @examples(300)
    @hypothesis.given(st.binary(max_size=200) | VALUES.map(str.encode))
    def test_any_bytes_are_refused_as_a_record(self, raw):
        # Guards against bytes that raise anything but the one error.
        for decode in (
            lambda: records.endpoint("engine-1", raw),
            lambda: records.configuration(raw),
            lambda: calls.decode_engine_report(raw),
            lambda: cache_calls.decode_cached_parts(raw),
            lambda: cache_calls.decode_cache_changes(raw),
        ):
            with contextlib.suppress(errors.BadRecord):
                decode()
        calls.decode_incarnation(_Head, raw)


class _Head:
    status = 200


class Answers(unittest.TestCase):
    """Answers of engines."""

    @examples(300)
    @hypothesis.given(VALUES, VALUES, VALUES)
    def test_reports_and_lists_are_decoded_or_refused(self, a, b, c):
        # Guards against an engine whose answer ends a task of the gateway.
        endpoint = records.endpoint("engine-1", entry({}))
        report = f'{{"sequence":{a},"busy":{b},"born":{c}}}'.encode()
        kept = (
            f'{{"epoch":{a},"next":{b},"held":[["",{c},{a},"m"]],'
            f'"events":[[1,"+","",{b},{c},"m"]],"lost":{a}}}'
        ).encode()
        prefill = f'{{"cache_handle":{a},"token_count":{b}}}'.encode()
        calls.decode_incarnation(_Head, report)
        for decode in (
            lambda: calls.decode_engine_report(report),
            lambda: cache_calls.decode_cached_parts(kept),
            lambda: cache_calls.decode_cache_changes(kept),
        ):
            with contextlib.suppress(errors.BadRecord):
                json.dumps(decode())
        with contextlib.suppress(errors.BadRecord):
            found = calls.decode_prefill_answer(endpoint, prefill)
            calls.free_request(found.handle)
            request = calls.run_request(CALL, endpoint, 1_000, None, found)
            h11.Request(
                method=request.method,
                target=request.target,
                headers=list(request.headers),
            )


class PeerUpdates(unittest.TestCase):
    """Updates of another gateway, which may be of another build."""

    @examples(300)
    @hypothesis.given(VALUES, VALUES, VALUES)
    def test_updates_are_decoded_or_refused(self, a, b, c):
        # Guards against a datagram whose error nobody expects.
        raw = (
            f'{{"topic":{a},"start":{b},"end":{c},"away_ms":{a},'
            f'"whole":true,"records":[[{a},{b},{c}]]}}'
        )
        with contextlib.suppress(
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            OverflowError,
            RecursionError,
        ):
            topic_updates.decode(json.loads(raw))
