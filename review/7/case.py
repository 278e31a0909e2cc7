"""Discovery moves by a new configuration while an upgrade is under way: between the new process's start and its yes."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))

import kit

SLACK = 0.3 + 0.05  # a message's end, behind its time, and 50 ms on sockets
READY_SLACK = 1.5  # no notice is overdue from the SIGTERM of a restart until 1.5 s after the relay is ready again
DEADLINE = 5.0
# A day with a shorter deadline, so that a run is short.
CLASSES = [{**c, "giveUp": int(DEADLINE * 1e6)} for c in kit.SETTINGS["classes"]]


def case(site, trouble):
    record = site.record

    def behave(endpoint, message):
        # The site's own trouble: a partner with a quarter of the traffic quickly fails 9 of 16 calls.
        return 0.02, 500 if endpoint.cell == 8 and message[0] in "012345678" else 200

    endpoints = [kit.Endpoint(record, "s-sound", 7, behave=behave), kit.Endpoint(record, "s-fails", 8, behave=behave)]
    platform = kit.Platform(record, [endpoint.entry() for endpoint in endpoints])
    mgmt = kit.free_address()
    first = site.start_relay(platform.address, platform.initial_list(), mgmt=mgmt, inherit=True)
    site.wait_for_pong()
    site.wait_for_status(mgmt)
    client = kit.Client(record, site.listen_address)
    accepted = {}
    count = 0

    def submit_for(seconds):
        nonlocal count
        due = time.monotonic() + seconds
        while time.monotonic() < due:
            count += 1
            message, answer = client.submit("order-payment", 8 if count % 4 == 0 else 7, d=int(DEADLINE * 1000), body="payment")
            if answer and answer.startswith("+"):
                accepted[message] = record.now()
            time.sleep(0.05)

    submit_for(2.0)
    second_mgmt = kit.free_address()
    second = site.start_relay(platform.address, platform.initial_list(), mgmt=second_mgmt, inherit=True)
    submit_for(0.6)
    if trouble:
        # The new process is in its first second and has not said yes, so SIGHUP goes to the one that serves.
        site.write_config(platform.move(), platform.initial_list())
        site.signal(first, signal.SIGHUP)
    submit_for(0.9)
    site.wait_for_status(second_mgmt)
    site.signal(first, signal.SIGTERM)
    ended = record.now()
    if site.wait_for_exit(first, 3.7) is None:
        site.signal(first, signal.SIGKILL)
        site.wait_for_exit(first, 2.0)
    site.wait_for_pong()
    ready = record.now()
    submit_for(6.0)
    time.sleep(DEADLINE + 1.5)
    if second.poll() is not None:
        raise kit.CannotRun("the new process ended")

    delivered, notices = {}, {}
    for _, at, ids, status in [result for endpoint in endpoints for result in endpoint.results]:
        if status == 200:
            delivered.update({message: at for message in ids})
    for at, message, _ in platform.notices:
        notices.setdefault(message, at)
    lost = []
    for message, at in accepted.items():
        due = at + DEADLINE + SLACK
        if ended <= due <= ready + READY_SLACK:
            due = ready + READY_SLACK
        if min(delivered.get(message, due + 1), notices.get(message, due + 1)) > due:
            lost.append((at, message))
    late = [at for at, _, _, _ in platform.told if at > ended]
    record.write(f"accepted {len(accepted)}, delivered {len(delivered)}, ended by a notice {len(notices)}; lists told behind the "
                 f"SIGTERM: {len(late)}; watches: {[round(at, 3) for at, _ in platform.watches]}")
    if not lost:
        return []
    return [f"{len(lost)} messages that were taken on between {lost[0][0]:.3f} and {lost[-1][0]:.3f} were neither delivered nor "
            f"ended by a notice {SLACK} s behind their time"]


sys.exit(kit.run_case(FOLDER, case, kit.settings_with({"classes": CLASSES})))
