"""Clients are sent away (POST /standby); the relay is upgraded before the end of the drain (POST /active)."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))

import kit

TIME_TO_SAY_NO = 4.0 + 0.05  # from the call, and 50 ms on sockets


def case(site, trouble):
    record = site.record
    endpoint = kit.Endpoint(record, "s-a", 7)
    platform = kit.Platform(record, [endpoint.entry()])
    mgmt = kit.free_address()
    first = site.start_relay(platform.address, platform.initial_list(), mgmt=mgmt, inherit=True)
    site.wait_for_pong()
    site.wait_for_status(mgmt)

    # The front asks every 0.1 s with a PING, and sends new connections while the answer is yes.
    answers, stop = [], threading.Event()

    def front():
        while not stop.wait(0.1):
            client = kit.Client(record, site.listen_address, "front")
            answer = client.command("PING")
            client.close()
            answers.append((record.now(), answer == "+PONG"))

    threading.Thread(target=front, daemon=True).start()
    accepted = []
    client = kit.Client(record, site.listen_address)

    def serve_clients(seconds):
        due = time.monotonic() + seconds
        while time.monotonic() < due:
            # A client goes on using a connection that stays open; a new one is sent only while the front hears a yes.
            if client.socket is not None or (answers and answers[-1][1]):
                message, answer = client.submit("order-payment", 7, d=12000, key="00000000000000a1")
                if answer and answer.startswith("+"):
                    accepted.append((record.now(), message))
            time.sleep(0.1)

    serve_clients(2.0)
    if kit.admin(record, mgmt, "POST", "/standby") != 200:
        raise kit.CannotRun("no yes for the drain")
    called = record.now()
    serve_clients(5.0)
    if any(yes for at, yes in answers if at > called + TIME_TO_SAY_NO):
        return ["PING still said yes 4 s after the call, before the upgrade"]
    if trouble:
        second_mgmt = kit.free_address()
        second = site.start_relay(platform.address, platform.initial_list(), mgmt=second_mgmt, inherit=True)
        site.wait_for_status(second_mgmt)
        site.signal(first, signal.SIGTERM)
        if site.wait_for_exit(first, 3.7) is None:
            site.signal(first, signal.SIGKILL)
            site.wait_for_exit(first, 2.0)
    serve_clients(5.0)
    stop.set()
    if trouble and second.poll() is not None:
        raise kit.CannotRun("the new process ended")

    yes = [at for at, is_yes in answers if is_yes and at > called + TIME_TO_SAY_NO]
    late = [at for at, _ in accepted if at > called + TIME_TO_SAY_NO]
    record.write(f"{len(answers)} answers to PING, {len(yes)} times yes after {called + TIME_TO_SAY_NO:.3f}; {len(late)} "
                 f"messages taken on after that")
    if not yes:
        return []
    return [f"PING said yes {len(yes)} times from {yes[0]:.3f} to {yes[-1]:.3f}, though clients were sent away at {called:.3f} "
            f"and nobody ended the drain; {len(late)} messages were taken on"]


sys.exit(kit.run_case(FOLDER, case))
