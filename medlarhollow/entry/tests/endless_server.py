"""Backend server that sends bytes without end, as a process of its own.

Run as ``python -m medlarhollow.entry.tests.endless_server FIRST REST PACE_S``
with FIRST and REST in hexadecimal. Prints its port. After a request it sends
FIRST, then REST until the connection is closed, with a pause of PACE_S seconds
between two writes.
"""

import socketserver
import sys
import time


class _Handler(socketserver.BaseRequestHandler):
    def handle(self):
        first, rest, pace_s = self.server.form
        received = b""
        while b"\r\n\r\n" not in received:
            data = self.request.recv(65536)
            if not data:
                return
            received += data
        try:
            self.request.sendall(first)
            while True:
                self.request.sendall(rest)
                time.sleep(pace_s)
        except OSError:
            return


class _Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, form):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.form = form


def main():
    first, rest, pace_s = sys.argv[1:]
    form = (bytes.fromhex(first), bytes.fromhex(rest), float(pace_s))
    with _Server(form) as server:
        print(server.server_address[1], flush=True)
        server.serve_forever()


if __name__ == "__main__":
    main()
