"""A small HTTP/1.1 server with one thread for each connection."""

import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class NoAnswer(Exception):
    """Raised by a route: the connection says nothing more until the peer closes it."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        # A peer that closes its connection is no fault of the stand-in.
        pass


def serve(route):
    """Serves `route(method, path, query, headers, body)` on a free loopback port.

    The route returns a status and a JSON value, or raises NoAnswer. Returns the server and its
    address.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_):
            pass

        def _handle(self):
            length = int(self.headers.get("Content-Length") or 0)
            raw = self.rfile.read(length) if length else b""
            url = urlsplit(self.path)
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            body = json.loads(raw) if raw else {}
            try:
                status, answer = route(self.command, url.path, query, self.headers, body)
            except NoAnswer:
                self._wait_until_closed()
                return
            data = json.dumps(answer).encode() if answer is not None else b""
            head = f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            self.wfile.write(head.encode() + data)

        def _wait_until_closed(self):
            self.close_connection = True
            self.connection.settimeout(60)
            try:
                while self.connection.recv(4096):
                    pass
            except (OSError, socket.timeout):
                pass

        do_GET = do_POST = do_DELETE = _handle

    server = _Server(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, f"127.0.0.1:{server.server_address[1]}"
