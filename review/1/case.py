"""The connection of a client is reset while its job is queued; the job runs all the same, in another pool."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import lab

RUNNERS = 4  # of the zone of the entry; each has room for two of the tasks
RESET_S = 0.05  # after the job was sent
ROUNDS = 5


async def play_round(it, entry, other, link, number, trouble):
    fill = [asyncio.create_task(it.submit(entry, f"f{number:07x}{i:08x}", 1300)) for i in range(2 * RUNNERS)]
    await asyncio.sleep(0.3)
    client = asyncio.create_task(
        it.submit_until_answered([entry, other], f"{number:016x}", 1400, estimate_ms=600, link=link))
    await asyncio.sleep(RESET_S)
    if trouble:
        it.record.write("network", f"the client's connection to {entry.name} is reset")
        link.reset()
    await asyncio.gather(client, *fill)
    await asyncio.sleep(2)


async def play(it, trouble):
    await it.start_platform()
    for i in range(RUNNERS):
        await it.add_runner(f"z1-runner-{i}", "z1")
    for zone in ("z2", "z3"):
        await it.add_runner(f"{zone}-runner", zone)
    entry, _, other = (it.add_daemon(f"daemon-{zone}", zone) for zone in it.zones)
    for daemon in it.daemons:
        daemon.start()
    for daemon in it.daemons:
        await daemon.wait_ready()
    await it.wait_for_owners()
    link = lab.ClientLink(entry)
    await link.start()
    await asyncio.sleep(2)
    for number in range(ROUNDS):
        await play_round(it, entry, other, link, number, trouble)
        if it.runs.twice:
            return f"TWICE: two runs of {it.runs.twice[0][0]} at the same time"
    return None


lab.main(play, pathlib.Path(__file__).resolve().parent, ["z1", "z2", "z3"])
