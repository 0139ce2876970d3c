"""What the parser of a connection reads, however its bytes are divided, and which heads it refuses."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinbay.http.parser import HeadTooLargeError, HttpParser
from tests.net import LIMITS

FIRST_LINES = b"POST /admit HTTP/1.1\r\nHost: node\r\n"
ONE_FIELD = 1  # in FIRST_LINES
CHUNKED = FIRST_LINES + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 300 + b"0\r\n\r\n"
MESSAGES = [
    FIRST_LINES + b"\r\n",
    b"GET / HTTP/1.1\nHost: node\n\n",
    FIRST_LINES + b"Content-Length: 3000\r\n\r\n" + b"x" * 3000,
    CHUNKED,
]


def read_messages(parser: HttpParser, parts: list[bytes]) -> list[tuple[bytes, bytes]]:
    """Return target and body of each request in the parts, answering each so that the next can follow."""
    found: list[tuple[bytes, bytes]] = []
    target, body = b"", b""
    for part in parts:
        parser.receive(part)
        while (event := parser.next_event()) is not h11.NEED_DATA or parser.feed():
            if type(event) is h11.Request:
                target, body = event.target, b""
            elif type(event) is h11.Data:
                body += event.data
            elif type(event) is h11.EndOfMessage:
                found.append((target, body))
                parser.h11.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
                parser.h11.send(h11.EndOfMessage())
                parser.start_next_cycle()
    return found


@settings(max_examples=200, deadline=None)
@given(st.lists(st.sampled_from(MESSAGES), min_size=1, max_size=4), st.data())
def test_messages_are_the_same_however_their_bytes_are_divided(
    messages: list[bytes], data: st.DataObject
) -> None:
    """Requests may come in pieces, and many at once."""
    stream = b"".join(messages)
    cuts = sorted(data.draw(st.lists(st.integers(1, len(stream)), max_size=8)))
    parts = [stream[begin:end] for begin, end in zip([0, *cuts], [*cuts, len(stream)], strict=True)]
    whole = read_messages(HttpParser(h11.SERVER, LIMITS), [stream])
    divided = read_messages(HttpParser(h11.SERVER, LIMITS), [part for part in parts if part])
    assert len(whole) == len(messages) and divided == whole


# Guards against heads of very many fields, each of which costs the parser far more than its bytes.
@pytest.mark.parametrize("end", [b"\r\n", b""])
def test_a_head_of_too_many_fields_is_refused_unparsed(end: bytes) -> None:
    """The number of fields is limited before the head is complete, and in a complete head."""
    most = LIMITS.head_fields - ONE_FIELD
    parser = HttpParser(h11.SERVER, LIMITS)
    parser.receive(FIRST_LINES + b"a:\r\n" * most + b"\r\n")
    assert parser.feed() and type(parser.next_event()) is h11.Request
    parser = HttpParser(h11.SERVER, LIMITS)
    parser.receive(FIRST_LINES + b"a:\r\n" * (most + 2) + end)
    with pytest.raises(HeadTooLargeError):
        parser.feed()
    assert parser.h11.trailing_data == (b"", False)


@pytest.mark.parametrize("piece", [1000, 100_000])
def test_a_head_of_too_many_bytes_is_refused_unparsed(piece: int) -> None:
    """One long field, whole or in pieces."""
    parser, head = (
        HttpParser(h11.SERVER, LIMITS),
        FIRST_LINES + b"a: " + b"x" * LIMITS.head_bytes + b"\r\n\r\n",
    )
    with pytest.raises(HeadTooLargeError):
        for at in range(0, len(head), piece):
            parser.receive(head[at : at + piece])
            parser.feed()


@pytest.mark.parametrize("sent", [b"\r\n", b"\x16\x03\x01\x02\x00", b" GET / HTTP/1.1\r\n"])
def test_bytes_that_begin_no_head_are_rejected_at_once(sent: bytes) -> None:
    """An empty line, a TLS handshake and a space: the client is not waited for."""
    parser = HttpParser(h11.SERVER, LIMITS)
    parser.receive(sent)
    with pytest.raises(h11.RemoteProtocolError):
        while parser.feed():
            parser.next_event()


def test_a_chunked_body_reaches_the_parser_in_small_parts() -> None:
    """Each chunk costs time, whatever its size, so that few of them are parsed at once."""
    parser = HttpParser(h11.SERVER, LIMITS)
    parser.receive(CHUNKED)
    assert parser.feed() and type(parser.next_event()) is h11.Request
    parts = 0
    while parser.feed():
        parts += 1
        assert len(parser.h11.trailing_data[0]) <= LIMITS.chunked_part_bytes
        while parser.next_event() not in (h11.NEED_DATA, h11.PAUSED):
            pass
    assert parts == -(-len(b"1\r\na\r\n" * 300 + b"0\r\n\r\n") // LIMITS.chunked_part_bytes)
