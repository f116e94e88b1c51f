"""Keep-alive JSON server on loopback, one thread per connection."""
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class NoResponse(Exception):
    """The channel ends without a response."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass  # resets by peers that end are expected


def serve(address, handle):
    """Starts a server. `handle(method, path, query, headers, body)` returns status and document,
    or a status of 200 and a document; it may raise NoResponse."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def answer(self):
            parts = urlsplit(self.path)
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            try:
                status, document = handle(self.command, parts.path, query, self.headers, body)
            except NoResponse:
                self.close_connection = True
                return
            text = json.dumps(document).encode()
            head = (f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n").encode()
            try:
                self.wfile.write(head + text)
            except OSError:
                self.close_connection = True

        do_GET = do_POST = do_PUT = do_DELETE = answer

        def log_message(self, *args):
            pass

    server = _Server(address, Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server
