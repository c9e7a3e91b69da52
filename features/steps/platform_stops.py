"""Steps about planned stops and starts of daemons and control VMs as single processes."""

from __future__ import annotations

import signal
import subprocess
import sys

import gevent
import orjson
from behave import given, then, when
from gentianspread_lab.callers import CREATE_TABLE
from gentianspread_lab.client import VMConnection
from gentianspread_lab.deployments import Deployment
from gentianspread_lab.fleet import Fleet
from gentianspread_lab.platform.fleet import PlatformFleet
from gentianspread_lab.platform.ports import PortBlock
from gentianspread_server.codec import hash_key
from gentianspread_server.connections import RequestNotSentError, ResponseLostError
from gentianspread_server.webserver import WebServer

START_TIMEOUT_S = 20.0
STOP_DELAY_S = 0.3  # the request is being served by then
RESPONSE_TIMEOUT_S = 10.0
TOKEN_GRANT_WAIT_S = 2.5
DECLARATION = {"version": 1, "routes": [], "services": [], "limits": {}, "tenants": []}
CHANGE = {
    "kind": "create_workspace",
    "fields": {"name": "w1", "rate": 1, "burst": 2},
    "change_id": "c1",
}

SIGNAL_PROBE = """
import signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "gevent":
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
            sys.exit()

sys.meta_path.insert(0, Finder())
import gentianspread_server.platform.__main__
"""


def _mapped_files(pid):
    with open(f"/proc/{pid}/maps", encoding="utf-8") as file:
        return file.read()


def _wait_until_listening(address):
    with gevent.Timeout(START_TIMEOUT_S):
        while True:
            connection = VMConnection(address)
            try:
                connection.get("/ready")
                return
            except (RequestNotSentError, ResponseLostError):
                gevent.sleep(0.05)
            finally:
                connection.close()


def _send_and_stop(context, path, message, key=None):
    """Send a request, stop the process that serves it, and keep the response or the error."""

    def send():
        connection = VMConnection(context.address)
        try:
            context.response = connection.post(path, message, key)
        except (RequestNotSentError, ResponseLostError) as error:
            context.response_error = error
        finally:
            connection.close()

    context.response = context.response_error = None
    greenlet = gevent.spawn(send)
    gevent.sleep(STOP_DELAY_S)
    assert context.response is None, f"answered before the stop: {context.response.body}"
    context.stopped_process.terminate()
    greenlet.join(RESPONSE_TIMEOUT_S)


def _prepare_daemons(context):
    """Plan three daemons and three endpoints of one group on ports of their own."""
    ports = PortBlock.reserve()
    context.add_cleanup(ports.release)
    deployment = Deployment.single_zone()
    for plan in [*deployment.vms, *deployment.endpoints]:
        plan.address = ports.next_address()
    context.fleet = Fleet(deployment)
    context.add_cleanup(context.fleet.stop)
    context.address = deployment.vms[0].address
    context.other_address = deployment.vms[1].address
    return deployment


@given("a daemon in a fleet without a leader")
def step_daemon(context):
    deployment = _prepare_daemons(context)
    context.fleet.start_vm(deployment.vms[0])
    context.stopped_process = context.fleet.processes["vm1"]
    _wait_until_listening(context.address)


@given(
    "daemons with a stop limit of {limit:g} s, and endpoints that take {seconds:g} s for a write"
)
def step_daemons(context, limit, seconds):
    deployment = _prepare_daemons(context)
    deployment.statement_ms = 1000 * seconds
    for endpoint in deployment.endpoints:
        context.fleet.start_endpoint(endpoint)
    for vm in deployment.vms:
        context.fleet.start_vm(vm, (f"--stop_limit_s={limit:g}",))
    context.fleet.wait_until_ready([vm.name for vm in deployment.vms])
    context.fleet.wait_for_primaries()
    context.fleet.operator.change("create_workspace", {"name": "w1", "rate": 100, "burst": 100})
    fields = {"workspace": "w1", "name": "k1", "key_hash": hash_key("key")}
    context.fleet.operator.change("give_key", fields)
    gevent.sleep(TOKEN_GRANT_WAIT_S)
    context.stopped_process = context.fleet.processes["vm1"]


@given("the other VM answers after {seconds:g} s")
def step_slow_vm(context, seconds):
    def answer(environ, start_response):
        if environ["PATH_INFO"] == "/peer/forward":
            gevent.sleep(seconds)
        body = orjson.dumps({"status": "200 OK", "body": "{}"})
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    server = WebServer(context.other_address, answer)
    server.start()
    context.add_cleanup(server.stop)


@given("a control VM in a fleet without a leader")
def step_control_vm(context):
    fleet = PlatformFleet()
    context.add_cleanup(fleet.stop)
    fleet.start_control(0, is_first=True)
    context.address = fleet.control_addresses[0]
    context.stopped_process = fleet.processes["control-1"]
    _wait_until_listening(context.address)


@given("an entry VM that has begun to load its modules")
def step_starting_vm(context):
    fleet = PlatformFleet(entry_count=1)
    context.add_cleanup(fleet.stop)
    fleet.start_entry("entry-1")
    context.starting_process = fleet.processes["entry-1"]
    with gevent.Timeout(START_TIMEOUT_S):
        while "gevent" not in _mapped_files(context.starting_process.pid):
            gevent.sleep(0.001)


@when("it is told to reload its settings")
def step_reload(context):
    context.starting_process.send_signal(signal.SIGHUP)


@when("a statement of the other VM's transaction is sent, and the daemon is stopped while it runs")
def step_forwarded(context):
    message = {"kind": "read", "group": "g", "statement": "select 1", "transaction": "vm2.t1"}
    _send_and_stop(context, "/v1/request", message, "key")


@when("a transaction's write is sent {seconds:g} s after the daemon was told to stop")
def step_late_write(context, seconds):
    connection = VMConnection(context.address)
    context.add_cleanup(connection.close)
    begin = connection.post("/v1/request", {"kind": "begin", "group": "bench"}, "key")
    assert begin.status == 200, begin.body
    context.stopped_process.terminate()
    gevent.sleep(seconds)
    message = {
        "kind": "write",
        "group": "bench",
        "statement": CREATE_TABLE,
        "transaction": begin.body["transaction"],
    }
    context.response = context.response_error = None
    try:
        context.response = connection.post("/v1/request", message, "key")
    except (RequestNotSentError, ResponseLostError) as error:
        context.response_error = error


@when("an operator's change is sent, and the daemon is stopped while it waits")
def step_change(context):
    _send_and_stop(context, "/operator/change", CHANGE, context.fleet.operator_key)


@when("a configuration is declared, and the control VM is stopped while it waits")
def step_declare(context):
    _send_and_stop(context, "/Config.Replace", DECLARATION)


@then("the request got a complete response")
def step_response(context):
    assert context.response is not None, f"no response: {context.response_error}"


@when("a program of the platform is loaded")
def step_load(context):
    command = [sys.executable, "-c", SIGNAL_PROBE]
    context.probe_output = subprocess.run(
        command, capture_output=True, text=True, timeout=START_TIMEOUT_S, check=False
    ).stdout


@then("it ignores requests to reload before it loads its libraries")
def step_ignores(context):
    assert context.probe_output == "True\n", context.probe_output


@then("it has not ended after {seconds:g} s")
def step_not_ended(context, seconds):
    gevent.sleep(seconds)
    returncode = context.starting_process.poll()
    assert returncode is None, f"it ended with {returncode}"
