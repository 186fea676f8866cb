"""A fleet whose daemons reach each other through proxies, which can cut daemons off from the others.

The store and the runners stay in reach, as in a partition of the daemons from each other.
"""
import asyncio

import fleet as f


class LinkedDaemon(f.Daemon):
    """A daemon that announces the address of its proxy to the other daemons."""

    def __init__(self, fleet, name, zone):
        super().__init__(fleet, name, zone)
        self.announced = f"127.0.0.1:{f.free_ports(1)[0]}"

    def settings(self, template):
        line = f"peer_address = 127.0.0.1:{self.inner[0]}\n"
        text = super().settings(template)
        return text.replace(line, f"{line}advertised_peer_address = {self.announced}\n")


class LinkedFleet(f.Fleet):
    daemon_class = LinkedDaemon

    def __init__(self, folder, **options):
        super().__init__(folder, **options)
        self.cut_off = set()  # names of the daemons that are cut off from all others
        self.healed = asyncio.Event()

    def cut(self, daemons):
        self.record.note("cut off from the other daemons: " + ", ".join(it.name for it in daemons))
        self.cut_off = {it.name for it in daemons}

    def heal(self):
        self.record.note("the cut has ended")
        self.cut_off = set()
        self.healed.set()
        self.healed = asyncio.Event()

    async def start(self):
        self.servers = [
            await asyncio.start_server(self.proxy_of(it), "127.0.0.1", int(it.announced.split(":")[1]))
            for it in self.daemons]
        await super().start()

    def proxy_of(self, target):
        async def serve(reader, writer):
            other = None
            try:
                first = await reader.read(65536)
                source = next((it for it in self.daemons if it is not target and (
                    it.announced.encode() in first or it.name.encode() in first)), None)
                names = {target.name} | ({source.name} if source else set())
                await self.open_link(names)
                back, other = await asyncio.open_connection("127.0.0.1", target.inner[0])
                other.write(first)
                await asyncio.gather(
                    self.pump(reader, other, names), self.pump(back, writer, names))
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                writer.close()
                if other is not None:
                    other.close()

        return serve

    async def open_link(self, names):
        while names & self.cut_off:
            await self.healed.wait()

    async def pump(self, reader, writer, names):
        while data := await reader.read(65536):
            await self.open_link(names)
            writer.write(data)
            await writer.drain()
        await self.open_link(names)
        writer.close()
