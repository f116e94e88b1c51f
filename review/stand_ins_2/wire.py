"""JSON over HTTP/1.1 on asyncio: a small server and a client with one connection per request."""
import asyncio
import json
from typing import Awaitable, Callable, Dict, Optional, Tuple
from urllib.parse import parse_qsl, unquote

Answer = Tuple[int, object]
Handler = Callable[[str, str, Dict[str, str], Dict[str, str], bytes], Awaitable[Answer]]


class NoAnswer(Exception):
    """Raised by a handler to close the connection without a response."""


async def read_message(reader: asyncio.StreamReader) -> Tuple[str, Dict[str, str], bytes]:
    """Returns first line, headers (names in lower case) and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


class Server:
    """Serves `handle` on a loopback port until close()."""

    def __init__(self, port: int, handle: Handler):
        self.address = f"127.0.0.1:{port}"
        self._port = port
        self._handle = handle
        self._server: Optional[asyncio.AbstractServer] = None
        self._writers = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port,
                                                  limit=4 * 1024 * 1024, backlog=512)

    def close(self) -> None:
        if self._server:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                status, document = await self._handle(method, unquote(path),
                                                      dict(parse_qsl(query)), headers, body)
                text = json.dumps(document, separators=(",", ":")).encode()
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, NoAnswer):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def send(address: str, method: str, path: str, document: Optional[object] = None,
               headers: Optional[Dict[str, str]] = None, timeout: float = 3.0) -> Tuple[int, object]:
    """Sends one request; status 0 when no complete response has arrived in time."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            body = b"" if document is None else json.dumps(document).encode()
            lines = {"Host": address, "Content-Type": "application/json",
                     "Content-Length": str(len(body)), **(headers or {})}
            head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            first, _, answer = await read_message(reader)
            try:
                parsed = json.loads(answer) if answer else None
            except ValueError:
                parsed = None
            return int(first.split(" ")[1]), parsed
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return 0, None
    finally:
        if writer:
            writer.transport.abort()
