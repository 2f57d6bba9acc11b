"""HTTP/1.1 with CBOR bodies over loopback: a server and a client, both on asyncio."""

import asyncio
import random
import socket

from . import cbor

LOOPBACK = "127.0.0.1"


def free_ports(count):
    """Free ports below those that the system gives to outgoing connections, which could take one while a
    controller is away."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as one:
            try:
                one.bind((LOOPBACK, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, text = line.split(":", 1)
            headers[name.strip().lower()] = text.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Server:
    """Serves `handler(method, path, body)`, which returns a status and a value or None; None in place of
    the pair leaves the request without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.port = None
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, LOOPBACK, port, backlog=500)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{LOOPBACK}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self.handler(method, path, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                data = b"" if value is None else cbor.encode(value)
                writer.write(
                    f"HTTP/1.1 {status} x\r\ncontent-type: application/cbor\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def request(address, method, path, body=None, timeout=5.0, raw=False):
    """One request on a connection of its own. Returns status and decoded body; None without an answer."""
    host, port = address.rsplit(":", 1)
    data = b"" if body is None else (body if raw else cbor.encode(body))
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {len(data)}\r\n"
            f"connection: close\r\n\r\n".encode() + data
        )
        await writer.drain()
        first, headers, answer = await read_message(reader)
        return int(first.split(" ")[1]), headers, answer

    try:
        status, headers, answer = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
    try:
        return status, cbor.decode(answer) if answer else None
    except (ValueError, IndexError, UnicodeDecodeError):
        return status, None
