"""Steps about planned stops of daemons and control VMs as single processes."""

from __future__ import annotations

import gevent
import orjson
from behave import given, then, when
from gentianspread_lab.client import VMConnection
from gentianspread_lab.deployments import Deployment, VMPlan
from gentianspread_lab.fleet import Fleet
from gentianspread_lab.platform.fleet import PlatformFleet
from gentianspread_lab.platform.ports import PortBlock
from gentianspread_server.connections import RequestNotSentError, ResponseLostError
from gentianspread_server.webserver import WebServer

START_TIMEOUT_S = 20.0
STOP_DELAY_S = 0.3  # the request is being served by then
RESPONSE_TIMEOUT_S = 10.0
DECLARATION = {"version": 1, "routes": [], "services": [], "limits": {}, "tenants": []}
CHANGE = {
    "kind": "create_workspace",
    "fields": {"name": "w1", "rate": 1, "burst": 2},
    "change_id": "c1",
}


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


@given("a daemon in a fleet without a leader")
def step_daemon(context):
    ports = PortBlock.reserve()
    context.add_cleanup(ports.release)
    deployment = Deployment.single_zone()
    deployment.endpoints = []
    deployment.vms = [
        VMPlan(f"vm{number}", "zone1", ports.next_address(), True, True) for number in (1, 2, 3)
    ]
    fleet = Fleet(deployment)
    context.add_cleanup(fleet.stop)
    fleet.start_vm(deployment.vms[0])
    context.address = deployment.vms[0].address
    context.other_address = deployment.vms[1].address
    context.operator_key = fleet.operator_key
    context.stopped_process = fleet.processes["vm1"]
    _wait_until_listening(context.address)


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


@when("a statement of the other VM's transaction is sent, and the daemon is stopped while it runs")
def step_forwarded(context):
    message = {"kind": "read", "group": "g", "statement": "select 1", "transaction": "vm2.t1"}
    _send_and_stop(context, "/v1/request", message, "key")


@when("an operator's change is sent, and the daemon is stopped while it waits")
def step_change(context):
    _send_and_stop(context, "/operator/change", CHANGE, context.operator_key)


@when("a configuration is declared, and the control VM is stopped while it waits")
def step_declare(context):
    _send_and_stop(context, "/Config.Replace", DECLARATION)


@then("the request got a complete response")
def step_response(context):
    assert context.response is not None, f"no response: {context.response_error}"
