"""Signals in any order, at start, while serving and during the drain."""

import errno
import os
import signal
import socket
import time

import httpx

from standins import bringup
from standins import scripted
from tests.integration import base
from tests.integration import callers
from tests.integration import gateway_base

OTHER_SIGNALS = (
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGPROF,
)


def delayed_answer(seconds):
    """Return an endpoint script that answers after ``seconds``."""

    def script(_endpoint, request):
        yield seconds
        yield scripted.answer(request, b"done")

    return script


class BlockedStart:
    """Holds a process at its start, while it reads its settings file.

    The file is replaced by a FIFO, whose reader blocks until text is written.
    """

    def __init__(self, dep, name):
        """Restart ``name`` and wait until it opens its settings file."""
        self._dep = dep
        self._name = name
        dep.kill(name)
        self._path = dep.folder / f"{name}.toml"
        self._text = self._path.read_bytes()
        self._path.unlink()
        os.mkfifo(self._path)
        dep.start(name)
        self._pipe = bringup.wait_until(self._open, what=f"{name} to read")

    def _open(self):
        try:
            return os.open(self._path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as exc:
            if exc.errno != errno.ENXIO:
                raise
            return None

    def unblock(self):
        """Let the process continue; restore the ordinary settings file."""
        self._path.unlink()
        self._path.write_bytes(self._text)
        os.write(self._pipe, self._text)
        os.close(self._pipe)

    def send(self, *numbers):
        """Send signals one after another."""
        for number in numbers:
            self._dep.process_by_name[self._name].send_signal(number)
            time.sleep(0.02)


class GatewaySignalsTest(gateway_base.GatewayCase):
    """A signal ends a gateway early, cuts a call or is ignored."""

    def setUp(self):
        """Publish a route of unsafe calls."""
        super().setUp()
        self.publish(gateway_base.route("book", "app", "unsafe"))

    def send(self, *numbers):
        """Send signals to the gateway one after another."""
        for number in numbers:
            self.dep.process_by_name["gateway-1"].send_signal(number)
            time.sleep(0.05)

    def drain(self):
        """Send SIGTERM and wait until the gateway is no longer ready."""
        self.terminate()
        bringup.wait_until(
            lambda: not self.is_ready("gateway-1"), what="the drain"
        )

    def settings_path(self):
        """Return the path of the gateway's settings file."""
        return self.dep.folder / "gateway-1.toml"

    def wait_line(self, text):
        """Wait until the gateway has logged ``text``."""
        bringup.wait_until(
            lambda: text in self.dep.log_of("gateway-1"), 5, text
        )

    def test_signals_during_a_drain_cut_no_open_call(self):
        self.endpoint("one", delayed_answer(1.2))
        front = self.gateway()
        call = base.Background(self.ask, [(front, "/book/x", "a1")])
        time.sleep(0.3)
        self.drain()
        self.send(signal.SIGHUP, signal.SIGTERM, *OTHER_SIGNALS, signal.SIGHUP)
        rows = call.join()
        self.assertEqual(call.errors, [])
        self.assertEqual(rows[0][1].content, b"done")
        self.assertEqual(self.dep.wait_end("gateway-1", 5), 0)

    def test_signals_until_the_exit_do_not_change_its_code(self):
        self.gateway()
        self.drain()
        process = self.dep.process_by_name["gateway-1"]
        end = time.monotonic() + 8
        while process.poll() is None and time.monotonic() < end:
            self.dep.process_by_name["gateway-1"].send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            time.sleep(0.002)
        self.assertEqual(process.poll(), 0)

    def test_signals_during_start_do_not_kill(self):
        front = self.gateway()
        starting = BlockedStart(self.dep, "gateway-1")
        starting.send(
            signal.SIGHUP, *OTHER_SIGNALS, signal.SIGTERM, signal.SIGHUP
        )
        starting.unblock()
        self.assertEqual(self.dep.wait_end("gateway-1", 5), 0)
        with self.assertRaises(httpx.ConnectError):
            self.ask(front, "/book/x")

    def test_sighup_during_start_does_not_prevent_serving(self):
        self.gateway()
        starting = BlockedStart(self.dep, "gateway-1")
        starting.send(signal.SIGHUP, *OTHER_SIGNALS)
        starting.unblock()
        bringup.wait_until(lambda: self.is_ready("gateway-1"), what="service")

    def test_other_signals_do_not_end_a_serving_gateway(self):
        self.endpoint("one", delayed_answer(0.1))
        front = self.gateway()
        self.send(*OTHER_SIGNALS)
        self.assertEqual(self.ask(front, "/book/x").status_code, 200)
        self.wait_line("SIGUSR1")
        self.wait_line("SIGPROF")

    def test_sighup_logs_whether_the_settings_file_changed(self):
        self.gateway()
        self.send(signal.SIGHUP)
        self.wait_line("settings file unchanged")
        path = self.settings_path()
        text = path.read_text()
        path.write_text(text.replace('"grace_s" = 3', '"grace_s" = 4'))
        self.send(signal.SIGHUP)
        self.wait_line("settings file changed, in force at the next start")

    def test_sighup_with_an_invalid_file_keeps_the_settings(self):
        self.endpoint("one", delayed_answer(0.1))
        front = self.gateway()
        path = self.settings_path()
        text = path.read_text()
        for broken, expected in (
            (text.replace('"zone" = "a"', '"zone" = 7'), "zone: found 7"),
            (text.replace("= 3\n", "= inf\n"), "bounds.grace_s: found inf"),
            ("a = " + "[" * 20_000, "not TOML"),
            ("a = " + "9" * 5_000, "not TOML"),
            ("\x00", "not TOML"),
        ):
            with self.subTest(expected):
                path.write_text(broken)
                before = len(self.dep.log_of("gateway-1"))
                self.send(signal.SIGHUP)
                bringup.wait_until(
                    lambda: expected in self.dep.log_of("gateway-1")[before:],
                    5,
                    expected,
                )
        path.unlink()
        self.send(signal.SIGHUP)
        self.wait_line("No such file")
        self.assertIn(str(path), self.dep.log_of("gateway-1"))
        self.assertEqual(self.ask(front, "/book/x").status_code, 200)

    def test_second_interrupt_ends_at_once(self):
        self.endpoint("one", delayed_answer(1.2))
        front = self.gateway()
        call = base.Background(self.ask, [(front, "/book/x", "a1")])
        time.sleep(0.3)
        self.send(signal.SIGINT)
        self.send(signal.SIGINT)
        self.assertEqual(self.dep.wait_end("gateway-1", 1), 3)
        self.wait_line("SIGINT")
        self.assertNotIn("Traceback", self.dep.log_of("gateway-1"))
        call.join()

    def test_address_in_use_is_logged_without_a_traceback(self):
        self.gateway()
        used_address = self.listen_by_name["gateway-1"]
        for key in ("front", "ready_addr", "directory"):
            with self.subTest(key), socket.socket() as other:
                self.dep.kill("gateway-1")
                host, _, port = used_address[key].rpartition(":")
                other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                other.bind((host, int(port)))
                other.listen()
                before = len(self.dep.log_of("gateway-1"))
                self.dep.start("gateway-1")
                self.assertEqual(self.dep.wait_end("gateway-1", 10), 2)
                logged = self.dep.log_of("gateway-1")[before:]
                self.assertIn(f"cannot listen on {used_address[key]}", logged)
                self.assertNotIn("Traceback", logged)

    def test_peer_port_in_use_is_logged_without_a_traceback(self):
        used_address = ("127.0.0.1", self._peer_port())
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(used_address)
            self.start_without_waiting()
            self.assertEqual(self.dep.wait_end("gateway-1", 10), 2)
        logged = self.dep.log_of("gateway-1")
        self.assertIn("cannot listen on %s:%d" % used_address, logged)
        self.assertNotIn("Traceback", logged)

    def test_gateway_with_unavailable_store_stops_on_sigterm(self):
        for mode in ("busy", "silent"):
            with self.subTest(mode):
                self.set_store_mode(mode)
                front = self.start_without_waiting()
                bringup.wait_until(
                    lambda: self._accepts_connections(front), what="start"
                )
                self.send(signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
                self.assertEqual(self.dep.wait_end("gateway-1", 5), 0)


class NodeSignalsTest(base.DeploymentCase):
    """A signal ends an entry or a steward early, or cuts a stream."""

    def send(self, name, *numbers):
        """Send signals to a process one after another."""
        for number in numbers:
            self.dep.process_by_name[name].send_signal(number)
            time.sleep(0.05)

    def test_signals_while_serving_and_draining_end_no_process_early(self):
        self.bring_up(2, 2, entry_2={"limits": {"keep_addresses_ms": 1_000}})
        for name in ("entry-2", "steward-2"):
            self.send(name, signal.SIGHUP, *OTHER_SIGNALS)
            self.assertTrue(self.dep.status(name)["ready"])
        call = base.Background(
            callers.stream, [(self.url(2), "long answer", 60)]
        )
        time.sleep(0.3)
        for name in ("entry-2", "steward-2"):
            self.send(name, signal.SIGTERM, signal.SIGHUP)
            self.send(name, signal.SIGTERM, *OTHER_SIGNALS, signal.SIGHUP)
        rows = call.join()
        self.assertEqual(call.errors, [])
        self.assertEqual(
            callers.expected("long answer", 60), callers.texts(rows[0][1])
        )
        self.assertEqual(0, self.dep.wait_end("entry-2"))
        self.assertEqual(0, self.dep.wait_end("steward-2"))

    def test_signals_during_start_do_not_kill(self):
        dep = bringup.Deployment()
        self.addCleanup(dep.close)
        dep.platform()
        for program in ("entry", "steward"):
            with self.subTest(program):
                dep.instance(program, "a", program)
                starting = BlockedStart(dep, program)
                starting.send(signal.SIGHUP, *OTHER_SIGNALS)
                starting.send(signal.SIGTERM, signal.SIGHUP)
                starting.unblock()
                self.assertEqual(dep.wait_end(program, 5), 0)

    def test_node_with_unavailable_log_stops_on_sigterm(self):
        dep = bringup.Deployment()
        self.addCleanup(dep.close)
        dep.platform()
        for program in ("entry", "steward"):
            with self.subTest(program):
                dep.instance(program, "a", program, log=bringup.address())
                where = dep.address_by_name[program]
                bringup.wait_until(
                    lambda: dep._answers(where), what=f"the {program}"
                )
                self.dep = dep
                self.send(program, signal.SIGHUP, signal.SIGTERM)
                self.send(program, signal.SIGHUP)
                self.assertEqual(dep.wait_end(program, 10), 0)
