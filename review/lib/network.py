"""Links between gateways and the rest of the deployment, which can be cut.

Each gateway has its own view of the store, in which the addresses of workers and of other gateways
are those of links. A cut is silent. Bytes that were on their way when it began are held, and arrive
with the first retransmission after the cut, unless their sender has reset the connection. What is
connected during a cut delivers nothing.
"""
import asyncio
import base64
import json

from fleet import clock, free_port, read_request, reset, response

RETRANSMIT_S = 0.2


class Link:
    """One direction of connecting: from a machine to an address."""

    def __init__(self, record, name, target, one_way_s=0.0, rewrite=None):
        self.record, self.name, self.target = record, name, target
        self.one_way_s, self.rewrite = one_way_s, rewrite
        self.cut_at, self.healed_at = None, None
        self.on_bytes = None

    async def start(self):
        port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=256)
        self.address = f"127.0.0.1:{port}"

    def cut(self):
        self.cut_at, self.healed_at = clock(), None

    def heal(self):
        self.healed_at, self.cut_at = clock(), None

    async def deliver(self, sent_at):
        """Waits until bytes that were sent at this time arrive."""
        await asyncio.sleep(self.one_way_s)
        if self.cut_at is None:
            return
        next_at, pause = sent_at + RETRANSMIT_S, RETRANSMIT_S
        while self.cut_at is not None or next_at < self.healed_at:
            if clock() >= next_at:
                pause *= 2
                next_at += pause
            await asyncio.sleep(0.01)
        await asyncio.sleep(max(0.0, next_at - clock()) + self.one_way_s)

    async def pump(self, reader, writer, is_forward, other):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    if is_forward and self.cut_at is not None:
                        self.record.log("network", "sender closed", link=self.name, how="no reset")
                    await self.deliver(clock())
                    writer.write_eof()
                    return
                if is_forward and self.on_bytes:
                    self.on_bytes(data)
                if is_forward and self.rewrite:
                    data = data.replace(*self.rewrite)
                sent_at, was_cut = clock(), self.cut_at is not None
                await self.deliver(sent_at)
                if was_cut or clock() > sent_at + 1:
                    self.record.log("network", "held bytes arrive", link=self.name,
                                    bytes=len(data), held_s=round(clock() - sent_at, 3))
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            # A reset of one side resets the other, and loses what is on its way.
            reset(writer)
            reset(other)

    async def serve(self, reader, writer):
        if self.cut_at is not None:
            while self.cut_at is not None:
                await asyncio.sleep(0.05)
            reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        await asyncio.gather(self.pump(reader, far_writer, True, writer),
                             self.pump(far_reader, writer, False, far_writer))
        writer.close()
        far_writer.close()


class Network:
    """All links of a deployment with one link for each pair."""

    def __init__(self, fleet, one_way_s=0.0):
        self.fleet, self.record, self.one_way_s = fleet, fleet.record, one_way_s
        self.links = {}
        self.peers = {}
        self.views = {}

    async def link(self, source, name, target, rewrite=None):
        link = Link(self.record, f"{source}>{name}", target, self.one_way_s, rewrite)
        await link.start()
        self.links[source, name] = link
        return link

    async def connect(self, gateway, others):
        """Creates the links of a gateway before it starts."""
        for worker in self.fleet.workers:
            await self.link(gateway, worker.ident, worker.address)
        view = await asyncio.start_server(lambda r, w: self.serve_view(gateway, r, w),
                                          "127.0.0.1", 0)
        port = view.sockets[0].getsockname()[1]
        self.views[gateway] = view
        store = await self.link(gateway, "store", f"127.0.0.1:{port}")
        return int(store.address.rpartition(":")[2])

    async def join(self, gateways):
        """Creates the links between gateways; each hears of the others by the addresses of links."""
        for gateway in gateways:
            self.peers[gateway.name] = f"127.0.0.1:{gateway.peers}"
        for source in gateways:
            for target in gateways:
                if source is not target:
                    await self.link(source.name, target.name, self.peers[target.name])
        for source in gateways:
            for target in gateways:
                if source is not target:
                    back = self.links[target.name, source.name].address
                    own = self.peers[source.name]
                    self.links[source.name, target.name].rewrite = (own.encode(), back.encode())

    def seen_by(self, gateway, body):
        """The rows of an answer with the addresses that a gateway uses."""
        for row in body["rows"]:
            if row.get("value") and row["table"] in ("servers", "quetzalpin"):
                value = base64.b64decode(row["value"])
                if row["table"] == "servers" and (gateway, row["key"]) in self.links:
                    worker = next(it for it in self.fleet.workers if it.ident == row["key"])
                    link = self.links[gateway, row["key"]]
                    value = value.replace(worker.address.encode(), link.address.encode())
                for name, address in self.peers.items():
                    if name != gateway and (gateway, name) in self.links:
                        link = self.links[gateway, name]
                        value = value.replace(address.encode(), link.address.encode())
                row["value"] = base64.b64encode(value).decode()
        return body

    async def serve_view(self, gateway, reader, writer):
        store = self.fleet.store
        try:
            request = await read_request(reader)
            if request is None:
                return
            if store.on_call and await store.on_call(request, writer):
                return
            status, body = 200, None
            if request.path == "/-/rows-get":
                body = store.read(request.query())
            elif request.path == "/-/rows-feed":
                if int(request.query()["after"]) > store.ver:
                    status, body = 410, {"rows": []}
                else:
                    body = await store.feed(request.query())
                    if body is None:
                        return
            else:
                status, body = store.transact(json.loads(request.body))
            data = json.dumps(self.seen_by(gateway, body)).encode()
            await asyncio.sleep(0.004)
            writer.write(response(status, "OK", [("Content-Type", "application/json"),
                                                 ("Store-Era", store.era)], data))
            await writer.drain()
        except (OSError, TypeError):
            pass
        finally:
            writer.close()

    def of(self, machine):
        return [link for (source, target), link in self.links.items() if machine in (source, target)]

    def cut(self, machine):
        self.record.log("network", "cut", machine=machine)
        for link in self.of(machine):
            link.cut()

    def heal(self, machine):
        self.record.log("network", "heal", machine=machine)
        for link in self.of(machine):
            link.heal()
