"""Runs one of the example deployments as processes on loopback.

Used by tools/demo.py and tools/measure.py. It stops only the processes that it
started, by process id.
"""

import json
import pathlib
import shutil
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Timeout of wait_for; long enough that only a hang exceeds it.
WAIT_TIMEOUT_S = 60


class Cluster:
    """The control daemons, entry daemons and upstreams of an example."""

    def __init__(self, example, build="build", run_folder=None):
        self.example = example
        self.build = ROOT / build
        self.folder = ROOT / "examples" / example
        self.run = pathlib.Path(run_folder or ROOT / ".run" / example)
        self.key = (ROOT / "examples/keys/operator.key").read_text().strip()
        self.processes = {}
        self.entries = [self._settings("entry", i) for i in range(1, 8)]
        self.controls = [self._settings("control", i) for i in range(1, 4)]
        self.deployment = json.loads((self.folder / "deployment.json").read_text())

    def _settings(self, kind, number):
        return json.loads((self.folder / f"{kind}-{number}.json").read_text())

    def _spawn(self, name, program, settings):
        log = open(self.run / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [self.build / program, "--settings", settings], cwd=ROOT, stdout=log, stderr=log)

    def start(self):
        shutil.rmtree(self.run, ignore_errors=True)
        self.run.mkdir(parents=True)
        upstreams = self.run / "upstreams"
        upstreams.mkdir()
        subprocess.run([sys.executable, ROOT / "tools/make_examples.py", "--upstreams",
                        self.example, upstreams], check=True, stdout=subprocess.DEVNULL)
        self.upstreams = {p.stem: json.loads(p.read_text()) for p in sorted(upstreams.iterdir())}
        for settings in self.controls:
            self.start_control(settings["host"])
        for settings in self.entries:
            self.start_entry(settings["host"])
        for name in self.upstreams:
            self.start_upstream(name)

    def start_control(self, host):
        self._spawn(host, "jujube-controld", self.folder / f"{host}.json")

    def start_entry(self, host):
        self._spawn(host, "jujube-entryd", self.folder / f"{host}.json")

    def start_upstream(self, name):
        self._spawn(name, "jujube-upstream", self.run / "upstreams" / f"{name}.json")

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name):
        """Sends SIGTERM, which starts a planned stop, and returns the process."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process

    def stop(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()

    def zone_members(self, zone):
        """Returns the names of all hosts and upstreams of an availability zone, running or not."""
        settings = self.entries + self.controls
        hosts = [s["host"] for s in settings if s["availability_zone"] == zone]
        return hosts + [n for n, s in self.upstreams.items() if s["availability_zone"] == zone]

    def call(self, endpoint, path, body=None):
        """Sends a request with the operator key; returns (status, document).

        The status is 0 if the listener could not be reached.
        """
        request = urllib.request.Request(
            f"http://{endpoint['address']}:{endpoint['port']}{path}", data=body,
            headers={"Authorization": f"Bearer {self.key}", "Jujube-Operator": "tools"})
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return response.status, json.loads(response.read())
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read() or b"{}")
        except OSError as error:
            return 0, {"error": str(error)}

    def apply(self, document):
        body = json.dumps(document).encode()
        return wait_for("an accepted document", lambda: self._apply_once(body))

    def _apply_once(self, body):
        for peer in self.controls[0]["peers"]:
            status, answer = self.call(peer["operator"], "/v1/apply", body)
            if status == 200:
                return answer
        return None

    def entry_status(self, settings):
        status, document = self.call(settings["operator"], "/status")
        return document if status == 200 else None

    def wait_until_ready(self, number):
        """Waits until all running entry hosts have the document in force, a lease and
        instances of each service."""
        def is_ready():
            for settings in self.entries:
                if settings["host"] not in self.processes:
                    continue
                status = self.entry_status(settings)
                if not status or status["number"] != number or status["lease_left_ms"] == 0:
                    return False
                if status["index"] == 0 or not all(s["instances"] for s in status["services"]):
                    return False
            return True
        wait_for("ready entry hosts", is_ready)

    def entry_list(self):
        callers = [s["caller"] for s in self.entries]
        return ",".join(f"{c['address']}:{c['port']}" for c in callers)

    def load(self, service, **flags):
        """Runs the stub caller and returns its report."""
        command = [self.build / "jujube-caller", "--json", "--entries", self.entry_list(),
                   "--service", service]
        command += [f"--{name}={value}" for name, value in flags.items()]
        result = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
        if not result.stdout:
            raise RuntimeError(result.stderr)
        return json.loads(result.stdout)


def wait_for(description, condition):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.1)
    raise RuntimeError(f"timed out after {WAIT_TIMEOUT_S} s waiting for {description}")
