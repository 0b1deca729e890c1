#!/usr/bin/env python3
"""Generates examples/ with the two deployments of docs/design.md, section 3.

Usage: tools/make_examples.py [--check]
       tools/make_examples.py --upstreams EXAMPLE FOLDER
Without arguments it writes examples/. With --check it writes nothing and exits
with code 1 if a file is out of date. With --upstreams it writes one settings file
per upstream instance of an example (such as cooperative) to FOLDER: each element
of upstreams.json merged with upstream-template.json.
"""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"

# The examples use the same ports, each on its own loopback network, so that both can run
# at the same time.
ENTRY_PORTS = {"caller": 8080, "platform": 8081, "peer": 8082, "operator": 8083}
CONTROL_PORTS = {"peer": 8092, "operator": 8093}
CONTROL_ADDRESS_BASE = 10    # control-1 listens on .11
UPSTREAM_ADDRESS_BASE = 100  # upstreams of the first availability zone listen on .101
FIRST_UPSTREAM_PORT = 9000   # increases by one per upstream within an availability zone
CALLER_NETWORK_BASE = 10     # callers of the first availability zone are in 127.0.11.0/24

COOPERATIVE = {
    "name": "cooperative",
    "title": "Samahan ng Talaan ng Krudo sa mga Depot ng Bus ng Pilipinas",
    "network": 1,
    # Narrow links and small instances saturate first.
    "weights": {"headroom": 5, "latency": 2, "drain": 3},
    "link": {"capacity_kbit_s": 280000, "delay_ms": 12},
    "regions": {"luzon": ["luz-caloocan", "luz-batangas"],
                "visayas": ["vis-mandaue", "vis-iloilo"],
                "mindanao": ["min-davao", "min-cdo"]},
    "site_prefix": "depots",
    "election": {"heartbeat_ms": 50, "election_timeout_ms": 500},
    "connections": 360,
    "services": [
        # A delayed balance check holds a bus at the gate.
        {"name": "allowcheck", "instances": 12, "slots": 3, "priority": 9,
         "non_repeatable_methods": [], "default_deadline_ms": 3000, "max_body_bytes": 65536},
        # A lost or repeated dispensing entry puts a driver under suspicion.
        {"name": "pumplog", "instances": 12, "slots": 3, "priority": 8,
         "non_repeatable_methods": ["POST", "PATCH"], "default_deadline_ms": 10000,
         "max_body_bytes": 1048576},
        {"name": "tankview", "instances": 16, "slots": 3, "priority": 5,
         "non_repeatable_methods": [], "default_deadline_ms": 5000, "max_body_bytes": 65536},
        # Filed once a month: it may be delayed, but a repeated run bills twice.
        {"name": "reconfile", "instances": 12, "slots": 3, "priority": 3,
         "non_repeatable_methods": ["POST", "PATCH"], "default_deadline_ms": 60000,
         "max_body_bytes": 16777216},
    ],
}

LAB = {
    "name": "lab",
    "title": "Dieléctrica Oriental Laboratorios",
    "network": 2,
    # Engineers wait for readings while alarms are open.
    "weights": {"headroom": 2, "latency": 5, "drain": 3},
    "link": {"capacity_kbit_s": 4000000, "delay_ms": 35},
    "regions": {"sur-capital": ["cerro-a", "buceo-b"],
                "oeste-rio": ["paysandu-a", "salto-b"],
                "norte-eolico": ["rivera-a", "tacuarembo-b"]},
    "site_prefix": "substations",
    # A round trip between regions takes 70 ms.
    "election": {"heartbeat_ms": 100, "election_timeout_ms": 1000},
    "connections": 390,
    "services": [
        # A delayed reading keeps a crew waiting.
        {"name": "portal-cli", "instances": 18, "slots": 9, "priority": 9,
         "non_repeatable_methods": [], "default_deadline_ms": 3000, "max_body_bytes": 65536},
        {"name": "tendencias", "instances": 12, "slots": 3, "priority": 7,
         "non_repeatable_methods": [], "default_deadline_ms": 10000, "max_body_bytes": 65536},
        # A lost certificate request keeps a transformer out of service.
        {"name": "firmador", "instances": 12, "slots": 3, "priority": 6,
         "non_repeatable_methods": ["POST", "PATCH"], "default_deadline_ms": 30000,
         "max_body_bytes": 16777216},
        # A repeated intake gives one drum two chain-of-custody numbers.
        {"name": "custodia", "instances": 12, "slots": 8, "priority": 6,
         "non_repeatable_methods": ["POST", "PATCH"], "default_deadline_ms": 10000,
         "max_body_bytes": 16777216},
    ],
}

KEYS = {name: f"{name}-key-for-examples-only-never-deploy-it\n"
        for name in ("peer", "platform", "operator")}


def _zones(example):
    return [zone for zones in example["regions"].values() for zone in zones]


def _endpoint(example, host, port):
    return {"address": f"127.0.{example['network']}.{host}", "port": port}


def _entry_hosts(example):
    """Yields seven hosts: one in each availability zone and a second one in the first."""
    zones = _zones(example)
    for number, zone in enumerate([*zones, zones[0]], start=1):
        yield {"name": f"entry-{number}", "availability_zone": zone,
               **{role: _endpoint(example, number, port) for role, port in ENTRY_PORTS.items()}}


def _control_hosts(example):
    """Yields one host in the first availability zone of each region."""
    for number, zones in enumerate(example["regions"].values(), start=1):
        yield {"host": f"control-{number}", "availability_zone": zones[0],
               **{role: _endpoint(example, CONTROL_ADDRESS_BASE + number, port)
                  for role, port in CONTROL_PORTS.items()}}


def _upstreams(example):
    zones = _zones(example)
    next_port = dict.fromkeys(zones, FIRST_UPSTREAM_PORT)
    for service in example["services"]:
        for i in range(service["instances"]):
            zone = zones[i % len(zones)]
            address = UPSTREAM_ADDRESS_BASE + 1 + zones.index(zone)
            yield {"service": service["name"], "instance": f"{service['name']}-{i + 1}",
                   "availability_zone": zone,
                   "listen": _endpoint(example, address, next_port[zone]),
                   "slots": service["slots"]}
            next_port[zone] += 1


def _blocks(example):
    """Returns loopback and documentation prefixes split among the sites, with one block
    nested in another."""
    sites = [f"{example['site_prefix']}-{zone}" for zone in _zones(example)]
    blocks = [("127.0.0.0/8", sites[0]), ("203.0.113.0/24", sites[0]),
              ("203.0.113.128/25", sites[-1]), ("2001:db8::/32", sites[0])]
    for i, site in enumerate(sites):
        blocks += [(f"127.0.{CALLER_NETWORK_BASE + 1 + i}.0/24", site),
                   (f"192.0.2.{32 * i}/27", site),
                   (f"198.51.100.{32 * i}/27", site), (f"2001:db8:{i + 1}::/48", site)]
    return [{"prefix": prefix, "site": site} for prefix, site in blocks]


def _region_caps(example):
    """Returns the cap on requests in progress of each region: the sum of its slots."""
    region_of = {zone: region for region, zones in example["regions"].items() for zone in zones}
    caps = dict.fromkeys(example["regions"], 0)
    for upstream in _upstreams(example):
        caps[region_of[upstream["availability_zone"]]] += upstream["slots"]
    return caps


def _deployment(example):
    regions = list(example["regions"])
    pairs = [(a, b) for i, a in enumerate(regions) for b in regions[i + 1:]]
    document_keys = ("name", "priority", "non_repeatable_methods", "default_deadline_ms",
                     "max_body_bytes")
    return {
        "number": 1,
        "name": example["title"],
        "weights": example["weights"],
        "shift": {"max_permille_per_minute": 100},
        "claims": {"retention_ms": 86400000, "max_claims": 200000, "max_answer_bytes": 65536},
        "regions": [{"name": r, "max_in_progress": cap}
                    for r, cap in _region_caps(example).items()],
        "availability_zones": [{"name": zone, "region": region}
                               for region, zones in example["regions"].items() for zone in zones],
        "links": [{"a": a, "b": b, **example["link"]} for a, b in pairs],
        "sites": [{"name": f"{example['site_prefix']}-{zone}", "availability_zone": zone}
                  for zone in _zones(example)],
        "entry_hosts": [{key: host[key] for key in ("name", "availability_zone", "caller", "peer")}
                        for host in _entry_hosts(example)],
        "services": [{key: service[key] for key in document_keys}
                     for service in example["services"]],
        "blocks": _blocks(example),
    }


def _key_file(name):
    return f"examples/keys/{name}.key"


def _entry_settings(example, host):
    folder = f"examples/{example['name']}"
    return {
        "host": host["name"], "availability_zone": host["availability_zone"],
        **{role: host[role] for role in ENTRY_PORTS},
        "control": [control["peer"] for control in _control_hosts(example)],
        "peer_key_file": _key_file("peer"), "platform_key_file": _key_file("platform"),
        "operator_key_file": _key_file("operator"),
        "deployment_file": f"{folder}/deployment.json",
    }


def _control_settings(example, host):
    return {
        "host": host["host"], "availability_zone": host["availability_zone"],
        "peers": [{key: peer[key] for key in ("host", "peer", "operator")}
                  for peer in _control_hosts(example)],
        "data_folder": f".run/{example['name']}/{host['host']}",
        "peer_key_file": _key_file("peer"), "operator_key_file": _key_file("operator"),
        **example["election"],
    }


def _upstream_template(example):
    return {
        "announce_to": [host["platform"] for host in _entry_hosts(example)],
        "platform_key_file": _key_file("platform"),
        "connections": example["connections"],
        "service_time_ms": 5,
        "announce_interval_ms": 500,
    }


def _text(document):
    """Formats JSON with one line per member and per element of a list of objects."""
    def member(value):
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines = ",\n".join("    " + json.dumps(v, ensure_ascii=False) for v in value)
            return f"[\n{lines}\n  ]"
        return json.dumps(value, ensure_ascii=False)
    lines = [f"  {json.dumps(key)}: {member(value)}" for key, value in document.items()]
    return "{\n" + ",\n".join(lines) + "\n}\n"


def _outputs():
    for name, text in KEYS.items():
        yield ROOT / _key_file(name), text
    for example in (COOPERATIVE, LAB):
        folder = EXAMPLES / example["name"]
        yield folder / "deployment.json", _text(_deployment(example))
        for host in _entry_hosts(example):
            yield folder / f"{host['name']}.json", _text(_entry_settings(example, host))
        for host in _control_hosts(example):
            yield folder / f"{host['host']}.json", _text(_control_settings(example, host))
        yield folder / "upstream-template.json", _text(_upstream_template(example))
        yield folder / "upstreams.json", _text({"upstreams": list(_upstreams(example))})


def _write_upstreams(name, folder):
    source = EXAMPLES / name
    template = json.loads((source / "upstream-template.json").read_text())
    folder.mkdir(parents=True, exist_ok=True)
    for upstream in json.loads((source / "upstreams.json").read_text())["upstreams"]:
        path = folder / f"{upstream['instance']}.json"
        path.write_text(_text({**upstream, **template}))


def main(arguments):
    if len(arguments) == 3 and arguments[0] == "--upstreams":
        _write_upstreams(arguments[1], pathlib.Path(arguments[2]))
        return 0
    if arguments not in ([], ["--check"]):
        print(__doc__, file=sys.stderr)
        return 2
    stale = [(path, text) for path, text in _outputs()
             if not path.exists() or path.read_text() != text]
    for path, text in stale:
        print(("stale: " if arguments else "wrote ") + str(path.relative_to(ROOT)))
        if not arguments:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
    return 1 if arguments and stale else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
