"""CBOR and HTTP/1.1 for the stand-ins: standard library only."""

import asyncio
import json
import struct


def encode(value):
    out = bytearray()
    _encode(value, out)
    return bytes(out)


def _head(major, number, out):
    if number < 24:
        out.append(major << 5 | number)
    elif number < 1 << 8:
        out += bytes((major << 5 | 24, number))
    elif number < 1 << 16:
        out += struct.pack(">BH", major << 5 | 25, number)
    elif number < 1 << 32:
        out += struct.pack(">BI", major << 5 | 26, number)
    else:
        out += struct.pack(">BQ", major << 5 | 27, number)


def _encode(value, out):
    if value is None:
        out.append(0xF6)
    elif value is True:
        out.append(0xF5)
    elif value is False:
        out.append(0xF4)
    elif isinstance(value, int):
        if value >= 0:
            _head(0, value, out)
        else:
            _head(1, -1 - value, out)
    elif isinstance(value, float):
        out += struct.pack(">Bd", 0xFB, value)
    elif isinstance(value, str):
        text = value.encode()
        _head(3, len(text), out)
        out += text
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _encode(item, out)
    elif isinstance(value, dict):
        _head(5, len(value), out)
        for key, item in value.items():
            _encode(key, out)
            _encode(item, out)
    else:
        raise TypeError(type(value))


def decode(data):
    value, end = _decode(data, 0)
    if end != len(data):
        raise ValueError("trailing bytes")
    return value


def _decode(data, at):
    first = data[at]
    major, info = first >> 5, first & 31
    at += 1
    if major == 7:
        if info == 20:
            return False, at
        if info == 21:
            return True, at
        if info in (22, 23):
            return None, at
        if info == 25:
            return struct.unpack_from(">e", data, at)[0], at + 2
        if info == 26:
            return struct.unpack_from(">f", data, at)[0], at + 4
        if info == 27:
            return struct.unpack_from(">d", data, at)[0], at + 8
        raise ValueError("simple value")
    if info < 24:
        number = info
    elif info == 24:
        number, at = data[at], at + 1
    elif info == 25:
        number, at = struct.unpack_from(">H", data, at)[0], at + 2
    elif info == 26:
        number, at = struct.unpack_from(">I", data, at)[0], at + 4
    elif info == 27:
        number, at = struct.unpack_from(">Q", data, at)[0], at + 8
    elif info == 31:
        items = []
        while data[at] != 0xFF:
            item, at = _decode(data, at)
            items.append(item)
        at += 1
        if major == 4:
            return items, at
        if major == 5:
            return dict(zip(items[::2], items[1::2])), at
        return "".join(items), at
    else:
        raise ValueError("length")
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major in (2, 3):
        chunk = bytes(data[at : at + number])
        if len(chunk) != number:
            raise ValueError("cut short")
        return (chunk.decode() if major == 3 else chunk), at + number
    if major == 4:
        items = []
        for _ in range(number):
            item, at = _decode(data, at)
            items.append(item)
        return items, at
    if major == 5:
        found = {}
        for _ in range(number):
            key, at = _decode(data, at)
            found[key], at = _decode(data, at)
        return found, at
    return _decode(data, at)


def json_size(value):
    """Size of a value in the JSON form in which the pages count limits."""
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


async def read_message(reader):
    """Reads one request or response: first line, headers, body. None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if not header:
            return None
        header = header.strip()
        if not header:
            break
        name, _, value = header.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = bytearray()
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
        body = bytes(body)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line.decode("latin1").strip(), headers, body


def response_bytes(status, body, headers=None):
    head = f"HTTP/1.1 {status} X\r\ncontent-type: application/cbor\r\ncontent-length: {len(body)}\r\n"
    for name, value in (headers or {}).items():
        head += f"{name}: {value}\r\n"
    return head.encode() + b"\r\n" + body


class Dropped(Exception):
    """Raised by a handler that leaves a request without an answer."""


async def serve(handler, host="127.0.0.1", port=0):
    """Serves `handler(method, path, body) -> (status, value)`; returns the server and its port."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, path, _ = line.split(" ", 2)
                try:
                    status, value = await handler(method, path, body)
                except Dropped:
                    break
                data = b"" if value is None else encode(value)
                writer.write(response_bytes(status, data))
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port, limit=1 << 24)
    return server, server.sockets[0].getsockname()[1]


async def call(port, method, path, value=None, timeout=5.0, raw=None, connection=None):
    """Sends one request on a new connection; returns the status, the decoded body and the headers."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 24)
        try:
            body = raw if raw is not None else (b"" if value is None else encode(value))
            head = f"{method} {path} HTTP/1.1\r\nhost: 127.0.0.1:{port}\r\n"
            if method != "GET" or body:
                head += f"content-type: application/cbor\r\ncontent-length: {len(body)}\r\n"
            head += "connection: close\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("closed")
            line, headers, data = message
            status = int(line.split(" ")[1])
            try:
                answer = decode(data) if data else None
            except (ValueError, IndexError):
                answer = None
            return status, answer, headers
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)
