"""An upgrade where lists are asked for; an endpoint leaves right behind the old process's end, its address gets another server."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))

import kit

GRACE = 0.25 + 0.05  # obligations.drainGrace, and 50 ms on sockets
NEWS_AFTER_YES = 2.0  # discovery's news counts as told then
FIRST_SEED, SECOND_SEED = "8c1f30d27a5be968", "8c1f30d27a5be962"


def case(site, trouble):
    record = site.record
    old, stays = kit.Endpoint(record, "s-old", 7), kit.Endpoint(record, "s-stays", 7)

    def entry(endpoint, **changes):
        endpoint.report = "x0=0.9,x1=40"
        return endpoint.entry(size=1.0, flavor="general", locality="north-wing", **changes)

    platform = kit.Platform(record, [entry(old), entry(stays)])
    mgmt = kit.free_address()
    first = site.start_relay(platform.address, platform.initial_list(), mgmt=mgmt, inherit=True, seed=FIRST_SEED)
    site.wait_for_pong()
    site.wait_for_status(mgmt)
    client = kit.Client(record, site.listen_address)
    accepted = {}

    def submit_for(seconds, dest=7, is_over=lambda: False):
        due = time.monotonic() + seconds
        while time.monotonic() < due and not is_over():
            cls = "record-filing" if len(accepted) % 3 == 0 else "fee-order"
            message, answer = client.submit(cls, dest, d=12000, body=f"for destination {dest}")
            if answer and answer.startswith("+"):
                accepted[message] = dest
            time.sleep(0.05)

    submit_for(12.0, is_over=lambda: platform.watches)
    if not platform.watches:
        raise kit.CannotRun("the relay opened no watch")
    submit_for(1.0)
    yes = None
    if trouble:
        second_mgmt = kit.free_address()
        second = site.start_relay(platform.address, platform.initial_list(), mgmt=second_mgmt, inherit=True, seed=SECOND_SEED)
        site.wait_for_status(second_mgmt)
        yes = record.now()
        site.signal(first, signal.SIGTERM)
        if site.wait_for_exit(first, 3.7) is None:
            raise kit.CannotRun("the old process had work to do")
    # s-old ends. Its replacement at the same address serves destination 8, under a new id.
    gone = entry(old, phase="Gone")
    old.name, old.cell = "s-new", 8
    changed = record.write("the endpoint s-old has ended; s-new of destination 8 serves at its address")
    platform.change(gone)
    platform.change(entry(old, up_since_ms=int(time.time() * 1000)))
    told_at_latest = max(yes + NEWS_AFTER_YES, changed) if trouble else changed + 6.0
    record.write(f"the change counts as told at {told_at_latest:.3f} at the latest")
    submit_for(12.0, is_over=lambda: any("s-new" in ids for _, _, _, ids in platform.told))
    submit_for(2.0)
    submit_for(1.0, dest=8)
    time.sleep(1.0)
    if trouble and second.poll() is not None:
        raise kit.CannotRun("the new process ended")

    told = min([at for at, _, _, ids in platform.told if "s-new" in ids] + [told_at_latest])
    foreign = [(at, message) for at, message, _ in old.calls if at > told + GRACE and accepted.get(message) == 7]
    record.write(f"accepted {len(accepted)}; s-stays got {len(stays.calls)} calls; s-new got "
                 f"{len([1 for at, _, _ in old.calls if at > changed])}")
    if not foreign:
        return []
    lost = {message for _, message in foreign} - set(stays.ids()) - set(platform.notice_ids())
    return [f"s-new of destination 8 got {len(foreign)} messages for destination 7 between {foreign[0][0]:.3f} and "
            f"{foreign[-1][0]:.3f}, though s-old counts as told to be gone from {told:.3f} on, with a grace of 0.25 s; "
            f"{len(lost)} of them reached no endpoint of destination 7 and ended by no notice"]


sys.exit(kit.run_case(FOLDER, case, kit.WINDHOEK))
