"""A watch of discovery falls silent once; an endpoint leaves meanwhile, and its address goes to another destination."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))

import kit

GRACE = 0.25 + 0.05  # obligations.drainGrace, and 50 ms on sockets

def case(site, trouble):
    record = site.record
    old, stays = kit.Endpoint(record, "s-old", 7), kit.Endpoint(record, "s-stays", 7)

    def entry(endpoint, **changes):
        endpoint.report = "x0=0.9,x1=40"
        return endpoint.entry(size=1.0, flavor="general", locality="north-wing", **changes)

    platform = kit.Platform(record, [entry(old), entry(stays)])
    site.start_relay(platform.address, platform.initial_list())
    site.wait_for_pong()
    client = kit.Client(record, site.listen_address)
    accepted = {}

    def submit_until(is_over, seconds, dest=7):
        due = time.monotonic() + seconds
        while time.monotonic() < due and not is_over():
            cls = "record-filing" if len(accepted) % 3 == 0 else "fee-order"
            message, answer = client.submit(cls, dest, d=12000, body=f"for destination {dest}")
            if answer and answer.startswith("+"):
                accepted[message] = dest
            time.sleep(0.05)

    # The first call for the list comes within the 10 s of obligations.askWithin.
    submit_until(lambda: platform.watches, 12.0)
    if not platform.watches:
        raise kit.CannotRun("the relay opened no watch")
    submit_until(lambda: False, 1.0)
    opened, wait = platform.watches[-1]
    if wait > 12.0:
        raise kit.CannotRun("the watch is longer than expected")
    silent = platform.fall_silent() if trouble else None
    submit_until(lambda: False, 1.0)
    # s-old ends. Its replacement at the same address serves destination 8, under a new id.
    gone = entry(old, phase="Gone")
    old.name, old.cell = "s-new", 8
    changed = record.write("the endpoint s-old has ended; s-new of destination 8 serves at its address")
    platform.change(gone)
    platform.change(entry(old, up_since_ms=int(time.time() * 1000)))
    # What the silent watch misses counts as told 6 s after it fell silent, or 2 s after its wait is over, if that is later.
    told_at_latest = max(silent + 6.0, opened + wait + 2.0) if trouble else changed + 6.0
    record.write(f"the change counts as told at {told_at_latest:.3f} at the latest")

    def is_told():
        return any("s-new" in ids for _, _, _, ids in platform.told)

    submit_until(is_told, told_at_latest + 10.0 - record.now())
    submit_until(lambda: False, 2.0)
    submit_until(lambda: False, 1.0, dest=8)
    time.sleep(1.0)

    told = min([at for at, _, _, ids in platform.told if "s-new" in ids] + [told_at_latest])
    foreign = [(at, message) for at, message, _ in old.calls if at > told + GRACE and accepted.get(message) == 7]
    breaches = []
    if foreign:
        lost = {message for _, message in foreign} - set(stays.ids()) - set(platform.notice_ids())
        breaches.append(f"s-new of destination 8 got {len(foreign)} messages for destination 7 between {foreign[0][0]:.3f} "
                        f"and {foreign[-1][0]:.3f}, though s-old counts as told to be gone from {told:.3f} on, with a grace "
                        f"of 0.25 s; {len(lost)} of them reached no endpoint of destination 7 and ended by no notice")
    record.write(f"accepted {len(accepted)}; s-stays got {len(stays.calls)} calls; s-new got "
                 f"{len([1 for at, _, _ in old.calls if at > changed])}")
    return breaches


sys.exit(kit.run_case(FOLDER, case, kit.WINDHOEK))
