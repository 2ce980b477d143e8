"""A bid server hangs while it is sent a long body: when does the client get its final answer?"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
from standins import (  # noqa: E402
    CannotRun, Discovery, connect, has_trouble, piraeus_settings, read_response, run)

# More than the system takes for the node's connection to a server that reads nothing, as far as the body has not been
# read by the node: the longest send buffer, and 1.8 MB that wait for the node.
SEND_BUFFER = "/proc/sys/net/ipv4/tcp_wmem"
MORE_BYTES = 1_800_000
MOST_BYTES = 32 * 1024 * 1024
# Short deadlines: the class allows 800 ms, and a try is given up after five eighths of them.
HARD_LIMIT_MS, OBJECTIVE_MS, EXPIRES_MS = 800, 400, 500
# Up to half a second after its time an answer only earns nothing; on real sockets each limit is 50 ms longer.
LOST_AFTER = EXPIRES_MS / 1000 + 0.5 + 0.05
BIDS = 20


def body_bytes():
    with open(SEND_BUFFER, encoding="ascii") as file:
        longest = int(file.read().split()[2])
    if longest + MORE_BYTES > MOST_BYTES:
        raise CannotRun("a body of 32 MB fits into the system's send buffer")
    return longest + MORE_BYTES


def place_bid(case, node, number, length, results):
    trace_id = f"{number:016x}"
    head = (f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {trace_id}\r\nX-Qos: bid-place\r\n"
            f"X-Object: lot-{number}\r\nX-Expires-In-Ms: {EXPIRES_MS}\r\nIdempotency-Key: {number:032x}\r\n"
            f"Content-Length: {length}\r\n\r\n").encode()
    with connect(node.address) as stream:
        begun = time.monotonic()
        try:
            stream.sendall(head + bytes(length))
        except OSError as error:
            case.record.write(f"client {trace_id}: could not send its last byte: {error}")
            return
        sent = time.monotonic()
        case.record.write(f"client {trace_id}: {length} bytes, the last one written {sent - begun:.3f} s after the first")
        try:
            status, _, body = read_response(stream, bytearray())
            text = f"{status} {body[:60]!r}"
        except (OSError, EOFError) as error:
            status, text = None, f"no answer ({error})"
        took = time.monotonic() - sent
        case.record.write(f"client {trace_id}: {text}, {took:.3f} s after its last byte")
        results[trace_id] = (status, text, took)


def play(case):
    length = body_bytes()
    servers = [case.server(f"s-{i}", "--work-ms", "100", "--receive-buffer", "65536") for i in range(4)]
    discovery = Discovery(case.record, [server.target() for server in servers])
    settings = piraeus_settings()
    settings["classes"][1].update(hardLimitMs=HARD_LIMIT_MS, objectiveMs=OBJECTIVE_MS)
    node = case.node(case.config(discovery, settings))
    node.wait_until_ready()
    results = {}
    for number in range(1, 9):
        place_bid(case, node, number, length, results)
    if len(results) < 8 or any(status != 200 for status, _, _ in results.values()):
        raise CannotRun("not all bids before the trouble were served")
    results.clear()
    if has_trouble():
        case.record.write("s-0 hangs (SIGSTOP)")
        servers[0].stop()
    clients = []
    for number in range(101, 101 + BIDS):
        client = threading.Thread(target=place_bid, args=(case, node, number, length, results))
        client.start()
        clients.append(client)
        time.sleep(0.25)
    for client in clients:
        client.join()
    return [f"{trace_id}: {text} {took:.2f} s after its last byte, allowed {LOST_AFTER:.2f} s"
            for trace_id, (_, text, took) in sorted(results.items()) if took > LOST_AFTER]


run(FOLDER, play)
