"""A bid server: bid_server.py UID [--work-ms N] [--mss N] [--receive-buffer N] [--turn-away N] [--reset-every N]
[--second-answer-ms N]

Prints its address, then a line for each request: `began ID` once the last byte has come, and how it ended.

--work-ms N           the work of a request, in milliseconds
--mss N               the segment size of its link, as on a network of Ethernet (the default is loopback's)
--receive-buffer N    bytes of receive buffer of a connection
--turn-away N         the first N POST requests are turned away by their heads (503 with X-Never-Ran: 1)
--reset-every N       the connection is reset under each N-th POST request after that has begun
--second-answer-ms N  a second, spoilt answer follows each answer after so many milliseconds
"""

import argparse
import socket
import struct
import threading
import time

from standins import HOST, parse_head, read_body, recv_until


class Server:
    def __init__(self, options):
        self.options = options
        self.lock = threading.Lock()
        self.turned_away = self.begun_posts = self.in_flight = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if options.mss:
            self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, options.mss)
        if options.receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, options.receive_buffer)
        self.listener.bind((HOST, 0))
        self.listener.listen(256)
        print("%s:%d" % self.listener.getsockname(), flush=True)

    def say(self, text):
        with self.lock:
            print(text, flush=True)

    def take(self, name, limit):
        with self.lock:
            if getattr(self, name) >= limit:
                return False
            setattr(self, name, getattr(self, name) + 1)
            return True

    def is_reset(self):
        with self.lock:
            self.begun_posts += 1
            return self.options.reset_every > 0 and self.begun_posts % self.options.reset_every == 0

    def run(self):
        while True:
            stream, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(stream,), daemon=True).start()

    def serve(self, stream):
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = bytearray()
        try:
            with stream:
                while self.exchange(stream, buffer):
                    pass
        except (OSError, EOFError, ConnectionError, ValueError):
            pass

    def exchange(self, stream, buffer):
        line, fields = parse_head(recv_until(stream, b"\r\n\r\n", buffer, piece_bytes=1024))
        trace_id = fields.get("x-trace-id", "?")
        told = fields.get("x-expires-in-ms")
        is_post = line.startswith("POST")
        if is_post and self.take("turned_away", self.options.turn_away):
            self.say(f"turned away {trace_id} (queue full), read {len(buffer)} bytes of its body")
            stream.sendall(b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            # Reads what is still on its way, so that the answer is not lost by a reset.
            stream.shutdown(socket.SHUT_WR)
            time.sleep(0.2)
            stream.settimeout(0.5)
            while stream.recv(65536):
                pass
            return False
        try:
            body = read_body(stream, fields, buffer)
        except (EOFError, ConnectionError, OSError):
            self.say(f"{trace_id}: the connection ended within the request, which did not begin")
            raise
        self.say(f"began {trace_id} bytes={len(body)} told={told}")
        if is_post and self.is_reset():
            self.say(f"reset under {trace_id}")
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return False
        with self.lock:
            self.in_flight += 1
        time.sleep(self.options.work_ms / 1000)
        with self.lock:
            self.in_flight -= 1
            report = f"Endpoint-Load-Metrics: TEXT inflight={self.in_flight}, qps=10\r\n"
        answer = f"{self.options.uid} ran {trace_id}\n".encode()
        # A view of /api/N has an answer of N bytes.
        size = line.split(" ")[1].rpartition("/")[2]
        answer += bytes(max(0, int(size) - len(answer))) if size.isdigit() else b""
        head = f"HTTP/1.1 200 OK\r\n{report}Content-Length: {len(answer)}\r\n\r\n".encode()
        stream.sendall(head + answer)
        self.say(f"answered {trace_id}")
        if self.options.second_answer_ms:
            time.sleep(self.options.second_answer_ms / 1000)
            stream.sendall(head + answer)
            self.say(f"answered {trace_id} a second time")
        return True


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("uid")
    parser.add_argument("--work-ms", type=float, default=0)
    parser.add_argument("--mss", type=int, default=0)
    parser.add_argument("--receive-buffer", type=int, default=0)
    parser.add_argument("--turn-away", type=int, default=0)
    parser.add_argument("--reset-every", type=int, default=0)
    parser.add_argument("--second-answer-ms", type=float, default=0)
    Server(parser.parse_args()).run()


if __name__ == "__main__":
    main()
