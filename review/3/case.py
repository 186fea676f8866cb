"""A zone is cut off and a daemon in it is killed; its last order reaches another zone after it has started again."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import lab

CUT_S = 2.0  # zone_cut: for_s = 5.5 at most
KILL_S = 0.5  # after the begin of the cut
RESTART_S = 0.3  # the platform starts the process again after a short delay
ROUNDS = 6


async def play_round(it, cut, entry, home_owner, other, number, trouble):
    await asyncio.sleep(4)  # calm
    # The pool of the entry's zone is full, so that the entry hands the next job to the owner of another pool.
    fill = [asyncio.create_task(it.submit(home_owner, f"f{number:07x}0000000{i}", 1300)) for i in range(2)]
    await asyncio.sleep(0.3)
    if trouble:
        it.record.write("network", f"zone {entry.zone} is cut off")
        cut.zone = entry.zone
    client = asyncio.create_task(it.submit_until_answered([entry, other], f"{number:016x}", 1400, estimate_ms=300))
    await asyncio.sleep(KILL_S)
    if trouble:
        entry.signal(signal.SIGKILL)
        entry.process.wait()
        await asyncio.sleep(RESTART_S)
        entry.start()
        await asyncio.sleep(CUT_S - KILL_S - RESTART_S)
        it.record.write("network", f"zone {entry.zone} is no longer cut off")
        cut.zone = None
    await asyncio.gather(client, *fill)
    await asyncio.sleep(2)


async def play(it, trouble):
    await it.start_platform()
    for zone in it.zones:
        await it.add_runner(f"{zone}-runner", zone)
    first, home_owner, other = (it.add_daemon(f"daemon-{zone}", zone) for zone in it.zones)
    entry = it.add_daemon("daemon-entry", "z2")
    cut = lab.ZoneCut(it.daemons)
    for daemon in it.daemons:
        await lab.PeerLink(daemon, cut).start()
    for daemon in (first, home_owner, other):
        daemon.start()
    for daemon in (first, home_owner, other):
        await daemon.wait_ready()
    await it.wait_for_owners()
    entry.start()
    await entry.wait_ready()
    for daemon in (first, home_owner, other):
        if it.owner(daemon.zone) != daemon.name:
            raise lab.CannotRun("the pools have other owners than planned")
    for number in range(ROUNDS):
        await play_round(it, cut, entry, home_owner, other, number, trouble)
        if it.runs.twice:
            return f"TWICE: two runs of {it.runs.twice[0][0]} at the same time"
    return None


lab.main(play, pathlib.Path(__file__).resolve().parent, ["z1", "z2", "z3"])
