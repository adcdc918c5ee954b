"""Requests and heads of answers as plain data.

Header names are compared in lower case; forwarded headers keep the case and
order in which they were received.
"""

import typing

Header = tuple[bytes, bytes]

# Headers that concern one connection only (RFC 9110, section 7.6.1), and
# those of framing, which each connection sets for itself.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class Request(typing.NamedTuple):
    """A complete request; ``target`` is the path with its query, as sent."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes = b""

    def header(self, name):
        """Return the first value of a header, or ``None``."""
        return find(self.headers, name)


class Head(typing.NamedTuple):
    """The status line and the headers of an answer."""

    status: int
    reason: bytes
    headers: tuple[Header, ...]

    def header(self, name):
        """Return the first value of a header, or ``None``."""
        return find(self.headers, name)


def find(headers, name):
    """Return the first value of the header ``name`` (lower case)."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(headers):
    """Return the headers without the hop-by-hop ones."""
    named = find(headers, b"connection") or b""
    listed = {part.strip().lower() for part in named.split(b",")}
    return tuple(
        (key, value)
        for key, value in headers
        if key.lower() not in _HOP_BY_HOP and key.lower() not in listed
    )


def content_length(head):
    """Return the length that a head names for its body, or ``None``."""
    if head.header(b"transfer-encoding") is not None:
        return None
    return parse_integer(head.header(b"content-length"))


def parse_integer(value, default=None):
    """Return a header's value, bytes or text, as an integer.

    Any but 18 ASCII digits at most gives ``default``.
    """
    if value is None:
        return default
    text = value.strip()
    if not (text.isascii() and text.isdigit()) or len(text) > 18:
        return default
    return int(text)
