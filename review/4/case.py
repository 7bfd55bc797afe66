"""A resumable stream whose first worker stated a length goes on at another worker."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from fleet import *

STREAMS = 6
EVENTS = 30
EVENT_GAP_S = 0.06
MODEL = "m0"


def event(number, text):
    return f"id: {number}\ndata: {text}\n\n".encode()


async def answer(worker, request, _reader, writer):
    """A run makes its own text; it begins after the event that the request names, and states its length."""
    ident = worker.begin(request)
    after = int(request.get("last-event-id") or 0)
    text = "word " * (4 if after else 3)
    events = [event(number, f"{text}{number:02}") for number in range(after + 1, EVENTS + 1)]
    head = ["HTTP/1.1 200 OK", f"Request-Id: {ident}",
            "Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1", "Content-Type: text/event-stream",
            f"Content-Length: {sum(map(len, events))}", "", ""]
    writer.write("\r\n".join(head).encode())
    for item in events:
        await asyncio.sleep(EVENT_GAP_S)
        writer.write(item)
        await writer.drain()
    worker.record.log(worker.ident, "made all events", id=ident, after=after)


def event_ids(body):
    lines = body.decode().split("\n")
    return [int(line[3:]) for line in lines if line.startswith("id:")]


async def case(fleet):
    for number in (1, 2):
        worker = await fleet.add_worker(f"i-{number}", "writer", models=[MODEL], slots=64)
        worker.answer = answer.__get__(worker)
    routes = [route("keepsake", "streaming", "writer", timeout_ms=25000, attempts=2,
                    resumable=True, priority=2, aim_ms=5000)]
    fleet.store.put("op", "config", config(1, routes, [model_service("writer", [MODEL])]))
    gateway = await fleet.add_gateway("edge-1")
    await asyncio.sleep(1)

    async def stream(number):
        ident = new_id()
        headers = {"Request-Id": ident, "Model": MODEL, "Token-Counts": "100,200",
                   "Prompt-Prefix": f"5c1e07a2:50,{number:08x}:50", "Deadline-Ms": 25000}
        fleet.record.log("client", "sends", id=ident)
        found = await call(gateway.ip, gateway.front, "POST", f"/keepsake/{number}", headers,
                           b"entry", limit_s=25)
        fleet.record.log("client", "answer", id=ident, text=found.text(),
                         length=found.headers.get("content-length"),
                         events=event_ids(found.body))
        return ident, found

    streams = [asyncio.create_task(stream(number)) for number in range(STREAMS)]
    await asyncio.sleep(EVENT_GAP_S * EVENTS / 3)
    busiest = max(fleet.workers, key=lambda worker: len(worker.connections))
    if has_trouble():
        fleet.record.log("platform", "worker crashes", worker=busiest.ident)
        busiest.stop()
    broken = []
    for ident, found in await asyncio.gather(*streams):
        numbers = event_ids(found.body)
        is_whole = numbers == list(range(1, EVENTS + 1)) and found.body.endswith(b"\n\n")
        if found.status == 200 and found.is_complete and not is_whole:
            broken.append(ident)
    if not any(worker.runs for worker in fleet.workers):
        raise CannotRun("no stream ran")
    if broken:
        return f"ORDER: {len(broken)} of {STREAMS} streams end as complete without their last events"


run_case(case)
