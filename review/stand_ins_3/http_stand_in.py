"""A small HTTP/1.1 server and client of JSON messages for the stand-ins, on loopback only."""
import http.client
import json
import socket
import threading
import urllib.parse


class NoAnswer(Exception):
    """Raised by a handler: the channel ends without an answer."""


class JsonServer:
    """Serves `handle(method, path, query, headers, body)`, which returns status and document."""

    def __init__(self, handle, port=0):
        self._handle = handle
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", port))
        self._listener.listen(512)
        self.port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._channels = set()
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_channels(self):
        """Ends all open channels, as the end of the process behind them would."""
        with self._lock:
            channels = list(self._channels)
        for channel in channels:
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self._listener.close()
        self.reset_channels()

    def _accept(self):
        while True:
            try:
                channel, _ = self._listener.accept()
            except OSError:
                return
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._channels.add(channel)
            threading.Thread(target=self._serve, args=(channel,), daemon=True).start()

    def _serve(self, channel):
        stream = channel.makefile("rb")
        try:
            while self._serve_one(channel, stream):
                pass
        except (OSError, ValueError, NoAnswer):
            pass
        finally:
            with self._lock:
                self._channels.discard(channel)
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            stream.close()
            channel.close()

    def _serve_one(self, channel, stream):
        line = stream.readline()
        if not line:
            return False
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            line = stream.readline().decode("latin-1").strip()
            if not line:
                break
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        status, document = self._handle(method, urllib.parse.unquote(parts.path), query, headers,
                                        body)
        text = json.dumps(document, separators=(",", ":")).encode()
        channel.sendall(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        return True


def call(port, method, path, document=None, headers=None, timeout=3.0):
    """Status and JSON document of one call; status 0 when there was no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        body = b"" if document is None else json.dumps(document).encode()
        connection.request(method, path, body=body,
                           headers={"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        text = response.read()
        try:
            return response.status, json.loads(text) if text else None
        except ValueError:
            return response.status, None
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()
