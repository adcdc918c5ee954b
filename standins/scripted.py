"""An endpoint whose every byte a test decides.

It runs in a thread of the test.  For each request that has been read whole
the test's script yields steps: bytes to send, a number of seconds to wait,
``CLOSE`` for an orderly close, ``END`` for the end of its data only, or
``RESET``.  With ``answers_early`` the rest of a request stays unread.  Calls
for the cache are answered in the same way by a script of their own.
"""

import contextlib
import json
import socket
import struct
import threading
import time

import h11

CLOSE = "close"
END = "end"
RESET = "reset"
LINGER_NONE = struct.pack("ii", 1, 0)


class Endpoint:
    """Accepts connections on a port of its own until closed."""

    def __init__(self, script, address=("127.0.0.1", 0)):
        """Answer by ``script(endpoint, request)``, which yields steps."""
        self._script = script
        self._listener = socket.create_server(address)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        self.requests = []
        # What it says of its cache: tokens by part, and rows of changes.  It
        # offers neither while ``kept`` is ``None``.
        self.kept = None
        self.answers_early = False
        self.changes = []
        self.cache_script = _tell_cache
        self.connections = 0
        self.closed_by_peer = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop accepting."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                peer, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(peer,), daemon=True
            ).start()

    def _serve(self, peer):
        parser = h11.Connection(h11.SERVER)
        try:
            while True:
                request = self._read(peer, parser)
                if request is None:
                    return
                if request.target.startswith(("/kv-list", "/kv-events")):
                    script = self.cache_script
                else:
                    script = self._script
                    self.requests.append(request)
                is_open = self._play(peer, script(self, request))
                if not is_open or self.answers_early:
                    return
                parser = h11.Connection(h11.SERVER)
        except OSError:
            self.closed_by_peer.append(time.monotonic())
        finally:
            peer.close()

    def _read(self, peer, parser):
        head = None
        body = b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = peer.recv(65_536)
                if not data:
                    return None
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                if self.answers_early:
                    return Request(head, body)
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return Request(head, body)
            else:
                return None

    def _play(self, peer, steps):
        for step in steps:
            if step == RESET:
                peer.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
                )
                return False
            if step == CLOSE:
                return False
            if step == END:
                peer.shutdown(socket.SHUT_WR)
            elif isinstance(step, (int, float)):
                self._wait(peer, step)
            else:
                peer.sendall(step)
        return True

    def _wait(self, peer, seconds):
        """Wait, but notice when the other side closes."""
        if self.answers_early:
            time.sleep(seconds)
            return
        peer.settimeout(seconds)
        try:
            if not peer.recv(1, socket.MSG_PEEK):
                raise ConnectionResetError("closed by the peer")
        except TimeoutError:
            pass
        finally:
            peer.settimeout(None)


def _tell_cache(endpoint, request):
    """Tell what the endpoint keeps, if it offers that."""
    if endpoint.kept is None or request.method != "GET":
        yield answer(request, b"", 404)
        return
    yield answer(request, cache_answer(endpoint, request))


def cache_answer(endpoint, request):
    """Return the body that tells the cache, or the changes asked for."""
    told = {"epoch": "e1", "next": len(endpoint.changes)}
    if request.target == "/kv-list":
        told["held"] = [
            ["", part, n, "m"] for part, n in endpoint.kept.items()
        ]
        return json.dumps(told).encode()
    since = int(request.target.partition("=")[2])
    told["lost"] = False
    told["events"] = [
        [number, "+" if tokens else "-", "", part, tokens, "m"]
        for number, (part, tokens) in enumerate(endpoint.changes)
        if number >= since
    ]
    return json.dumps(told).encode()


class Request:
    """A request as it arrived."""

    def __init__(self, head, body):
        """Keep what a test asks about."""
        self.method = head.method.decode()
        self.target = head.target.decode()
        self.header_by_name = {
            key.decode(): value.decode() for key, value in head.headers
        }
        self.body = body


def answer(request, body=b"fine", status=200, **headers):
    """Return the bytes of a whole answer as an endpoint gives it."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head.append(f"Attempt-Id: {request.header_by_name.get('attempt-id')}")
    head.append("Server-Stamp: stamp")
    head.extend(_header_lines(headers))
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def _header_lines(headers):
    return [
        f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
    ]


def stream_head(request, **headers):
    """Return the head of a streamed answer, framed in chunks."""
    head = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        f"Attempt-Id: {request.header_by_name.get('attempt-id')}",
        "Server-Stamp: stamp",
        *_header_lines(headers),
    ]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def chunk(data):
    """Return ``data`` as a chunk; without data the last one."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number, text="token"):
    """Return one event of a stream."""
    return f"id: {number}\ndata: {text} {number}\n\n".encode()
