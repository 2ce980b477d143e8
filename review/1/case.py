"""An unsafe request with a long body is turned away by one bid server and begun by another one, which resets."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
from standins import Background, Discovery, connect, has_trouble, piraeus_settings, read_response, run  # noqa: E402

BODY_BYTES = 200_000
EXPIRES_MS = 1500
ORDERS = 30
# Clients retry by themselves up to 2 times, after a refusal.
TRIES = 3


def place(case, node, order, number):
    """One try of an order. Returns the status, or None for no answer."""
    trace_id = f"{number:016x}"
    head = (f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {trace_id}\r\nX-Qos: bid-place\r\n"
            f"X-Object: {order}\r\nX-Expires-In-Ms: {EXPIRES_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n").encode()
    case.record.write(f"client: {order} as {trace_id}")
    with connect(node.address) as stream:
        status, body = None, b""
        try:
            stream.sendall(head + bytes(BODY_BYTES))
            status, fields, body = read_response(stream, bytearray())
        except (OSError, EOFError) as error:
            case.record.write(f"client: {order} as {trace_id}: no answer ({error})")
    case.record.write(f"client: {order} as {trace_id}: {status} {body[:60]!r}")
    return status


def play(case):
    full = [case.server(f"s-{i}", "--turn-away", "1000", "--mss", "1460", "--receive-buffer", "4096")
            for i in range(2)]
    resets = ["--reset-every", "2"] if has_trouble() else []
    others = [case.server(f"s-{i}", "--work-ms", "100", *resets) for i in range(2, 6)]
    discovery = Discovery(case.record, [server.target() for server in (*full, *others)])
    settings = piraeus_settings()
    settings["classes"][1].update(semantics="at_most_once")
    node = case.node(case.config(discovery, settings))
    node.wait_until_ready()
    background = Background(node, 6, 0.05)
    background.start()
    time.sleep(1)
    answers = {}
    for order_number in range(1, ORDERS + 1):
        order = f"order-{order_number}"
        for attempt in range(TRIES):
            number = 16 * order_number + attempt
            status = place(case, node, order, number)
            answers[f"{number:016x}"] = (order, status)
            if status not in (429, 503):
                break
            time.sleep(0.3)
        time.sleep(0.2)
    background.end()
    time.sleep(0.2)
    return broken_by(answers, others)


def broken_by(answers, servers):
    began = {}
    for server in servers:
        for _, line in server.timed_lines:
            if line.startswith("began "):
                began.setdefault(line.split()[1], []).append(server.uid)
    broken, runs = [], {}
    for trace_id, (order, status) in answers.items():
        runs.setdefault(order, []).extend((trace_id, uid) for uid in began.get(trace_id, []))
        if status in (429, 503) and trace_id in began:
            broken.append(f"{order} as {trace_id}: refused with {status}, but {began[trace_id]} had begun it")
    for order, begun in runs.items():
        if len(begun) > 1:
            broken.append(f"{order} was begun {len(begun)} times: {begun}")
    return broken


run(FOLDER, play)
