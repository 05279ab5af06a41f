"""Writes the files of a small fleet on this machine: settings, service files, the VM list, a load
profile and the list of processes to start. Used by utils/demo.sh and utils/bench.sh.
"""
import argparse
import json
import os
import subprocess

ZONES = "abc"
# Numbers of engines, plain services and routers per zone, as in the current deployments.
SIZES = {
    "mengom": {"engines": (4, 3, 3), "services": (1, 1, 1), "routers": 3},
    "riviere": {"engines": (7, 7, 6), "services": (1, 1, 1), "routers": 3},
    "single": {"engines": (1,), "services": (1,), "routers": 1},
}
LARGE = 4  # of 16 workspaces
SMALL = 12
LARGE_WEIGHT = 4
CALLERS, PEERS, ADMIN, TARGET, PLATFORM = 8080, 7400, 7500, 9000, 8500
FLEET_KEY = "a fleet key for this machine only"
OPERATORS_KEY = "operators-of-the-demo"


class Fleet:
    """Names and addresses of all processes, from a size and the second byte of the addresses."""

    def __init__(self, options):
        self.options = options
        self.size = SIZES[options.size]
        self.zones = ZONES[: len(self.size["engines"])]
        self.routers = [
            (f"{zone}{i}", zone, self.address(z, i))
            for z, zone in enumerate(self.zones, 1)
            for i in range(1, self.size["routers"] + 1)
        ]
        self.engines = self.targets("engines", 50)
        self.services = self.targets("services", 100)
        self.platform = self.address(200, 1)
        self.workspaces = [(f"large-{i}", LARGE_WEIGHT) for i in range(1, LARGE + 1)]
        self.workspaces += [(f"small-{i}", 1) for i in range(1, SMALL + 1)]

    def address(self, group, number):
        """Returns a loopback address of this fleet."""
        return f"127.{self.options.block}.{group}.{number}"

    def targets(self, kind, group):
        """Returns name, zone and address of the targets of a kind."""
        return [
            (f"{zone}{i}", zone, self.address(group + z, i))
            for z, zone in enumerate(self.zones, 1)
            for i in range(1, self.size[kind][z - 1] + 1)
        ]

    def path(self, name):
        """Returns the path of a file of the fleet."""
        return os.path.join(self.options.out, name)

    def write(self, name, value):
        """Writes a JSON file."""
        os.makedirs(os.path.dirname(self.path(name)), exist_ok=True)
        with open(self.path(name), "w", encoding="utf-8") as file:
            json.dump(value, file, indent=1)


def endpoint(address, port):
    """Returns an endpoint as in settings and profiles."""
    return {"address": address, "port": port}


def digests(fleet, keys):
    """Returns the digests of keys, computed by berylctl."""
    program = os.path.join(fleet.options.bin, "berylctl")
    result = subprocess.run([program, "digest"], input="\n".join(keys) + "\n", text=True,
                            check=True, capture_output=True)
    return result.stdout.split()


def key_of(workspace):
    """Returns a workspace's key."""
    return f"key-of-{workspace}"


def service_file(name, kind, targets, limits, routes):
    """Returns the contents of a service file."""
    zones = {}
    for target, zone, address in targets:
        zones.setdefault(zone, {})[target] = f"{address}:{TARGET}"
    file = {"service": name, "kind": kind, "targets": zones, "workspaces": {"all": 1}}
    file.update(limits)
    if routes:
        file["routes"] = routes
    return file


def write_services(fleet):
    """Writes the source files for berylctl collect: services, workspaces and the fleet."""
    names = [name for name, _ in fleet.workspaces]
    digest_by_name = dict(zip(names, digests(fleet, [key_of(name) for name in names])))
    fleet.write("services/workspaces.berylridge.json",
                {"workspaces": digest_by_name, "groups": {"all": dict(fleet.workspaces)}})
    fleet.write("services/fleet.berylridge.json", {"zonesOut": []})
    options = fleet.options
    fleet.write("services/assistant/assistant.berylridge.json", service_file(
        "assistant", "model-engine", fleet.engines,
        {"slots": options.slots, "coldSlots": options.cold_slots, "warmAfter": 8,
         "queueTimeoutMs": 4000}, {"POST /generate": "idempotent"}))
    fleet.write("services/catalogue/catalogue.berylridge.json", service_file(
        "catalogue", "plain", fleet.services,
        {"slots": 256, "coldSlots": 256, "queueTimeoutMs": 4000}, None))


def write_settings(fleet):
    """Writes one settings file per router, and the VM list."""
    operators = digests(fleet, [OPERATORS_KEY])[0]
    vms = []
    for node, zone, address in fleet.routers:
        fleet.write(f"settings/{node}.json", {
            "node": node, "zone": zone,
            "callers": endpoint(address, CALLERS), "peers": endpoint(address, PEERS),
            "admin": endpoint(address, ADMIN), "fleetKey": FLEET_KEY,
            "operatorsKeyDigest": operators, "platform": [endpoint(fleet.platform, PLATFORM)],
            "chartDirectory": fleet.options.charts, "sharing": fleet.options.sharing,
            "logLevel": "warning"})
        vms.append({"node": node, "zone": zone, "leaving": False, **endpoint(address, PEERS)})
    fleet.write("vms.json", {"vms": vms})


def write_profile(fleet):
    """Writes the profile of a mixed load: one large workspace overloads the fleet, the other large
    ones demand a little more than their share, the small ones less."""
    options = fleet.options
    capacity = len(fleet.engines) * options.slots / options.stream_seconds  # streams per second
    weights = sum(weight for _, weight in fleet.workspaces)
    rows = []
    for index, (name, weight) in enumerate(fleet.workspaces):
        share = capacity * weight / weights
        factor = 2.6 if index == 0 else 1.15 if index < LARGE else 0.55
        # Each workspace uses only a few routers, so the load is spread unevenly.
        count = len(fleet.routers)
        routers = sorted({index % count, (index * 5 + 1) % count, (index * 7 + 3) % count})
        rows.append({"name": name, "key": key_of(name), "weight": weight,
                     "streams": round(share * factor * options.load, 3), "lookups": 4 * weight,
                     "purchases": 1 * weight, "fewestTokens": 8, "mostTokens": 64,
                     "routers": routers})
    fleet.write("profile.json", {
        "seconds": options.seconds, "seed": options.seed,
        "routers": [endpoint(address, CALLERS) for _, _, address in fleet.routers],
        "engines": [endpoint(address, TARGET) for _, _, address in fleet.engines],
        "services": [endpoint(address, TARGET) for _, _, address in fleet.services],
        "workspaces": rows})


def write_processes(fleet):
    """Writes one line per process: its name, then its command line. Stand-ins come first."""
    binary = fleet.options.bin
    lines = [f"platform {binary}/standin-platform --address {fleet.platform} --port {PLATFORM}"
             f" --documents {fleet.path('published')} --vms {fleet.path('vms.json')}"]
    for name, _, address in fleet.engines:
        lines.append(f"engine-{name} {binary}/standin-engine --address {address} --port {TARGET}"
                     f" --slots {fleet.options.slots} --cold-slots {fleet.options.cold_slots}"
                     f" --tokens-per-second {fleet.options.tokens_per_second}")
    for name, _, address in fleet.services:
        lines.append(f"service-{name} {binary}/standin-service --address {address}"
                     f" --port {TARGET} --lookup-ms {fleet.options.lookup_ms}")
    for node, _, _ in fleet.routers:
        lines.append(f"router-{node} {binary}/berylridged"
                     f" --settings {fleet.path(f'settings/{node}.json')}")
    with open(fleet.path("processes"), "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")
    with open(fleet.path("admin"), "w", encoding="utf-8") as file:
        file.writelines(f"{node} {address}:{ADMIN}\n" for node, _, address in fleet.routers)


def main():
    """Reads the command line and writes all files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", required=True, help="folder to write to")
    parser.add_argument("--bin", required=True, help="folder of the programs")
    parser.add_argument("--charts", required=True, help="folder of the state charts")
    parser.add_argument("--size", choices=sorted(SIZES), default="mengom")
    parser.add_argument("--block", type=int, required=True, help="addresses are 127.BLOCK.x.y")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, default=1, help="factor on the rate of streams")
    parser.add_argument("--sharing", default="fleet")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--cold-slots", type=int, default=2)
    parser.add_argument("--tokens-per-second", type=float, default=50)
    parser.add_argument("--lookup-ms", type=float, default=5)
    options = parser.parse_args()
    options.stream_seconds = 0.02 + 36 / options.tokens_per_second
    fleet = Fleet(options)
    write_services(fleet)
    write_settings(fleet)
    write_profile(fleet)
    write_processes(fleet)


if __name__ == "__main__":
    main()
