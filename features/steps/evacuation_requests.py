"""Steps about the commands of evacuations, and operators' requests for them."""

from __future__ import annotations

import io

from behave import given, then, when
from gentianspread_core.blackboard.commands import CommandKind
from gentianspread_core.blackboard.election import Role
from gentianspread_core.errors import ErrorCode, Refusal
from gentianspread_server.evacuations import Evacuations
from gentianspread_server.pauses import PauseDetector
from gentianspread_server.platform.control_api import ControlApi
from support import follower_name

OUTCOME_S = 1.0
STEP_S = 0.01


class SimulationProposer:
    """Proposes to a simulated VM that leads, and runs the simulation until there is an outcome."""

    __slots__ = ("simulation", "leader_name")

    def __init__(self, simulation, leader_name):
        self.simulation = simulation
        self.leader_name = leader_name

    def propose(self, command, timeout_s):
        leader = self.simulation.vms[self.leader_name]
        outcomes = self.simulation.propose_change(command.kind, command.fields, at=leader)
        end = self.simulation.clock.now() + timeout_s
        while not outcomes and self.simulation.clock.now() < end:
            self.simulation.run(STEP_S)
        if not outcomes or outcomes[0] is None:
            self.simulation.run(STEP_S)
            raise Refusal(ErrorCode.NO_LEADER, "No outcome in time.")
        return outcomes[0]


def _propose(context, kind, zone, expected):
    fields = {"zone": zone, "expected_revision": expected}
    outcomes = context.simulation.propose_change(CommandKind(kind), fields)
    context.simulation.run(OUTCOME_S)
    context.proposed.append((kind, zone, expected))
    context.codes.append(outcomes[0].code or "accepted")


@when('"{kind:w}" of "{zone:w}" is proposed with the revision of now')
def step_propose(context, kind, zone):
    if not hasattr(context, "proposed"):
        context.proposed, context.codes = [], []
    configuration = context.simulation.leader().board.configuration
    _propose(context, kind, zone, configuration.evacuation_revision(zone))
    if len(context.codes) == 1:
        configuration = context.simulation.leader().board.configuration
        context.changed_at = configuration.evacuations[zone].revision


@when('an older "{kind:w}" of "{zone:w}" is proposed, with the revision before')
def step_propose_older(context, kind, zone):
    _propose(context, kind, zone, context.proposed[-1][2])


@when("the first command is proposed once more")
def step_propose_first(context):
    _propose(context, *context.proposed[0])


@when("the last command is proposed once more")
def step_propose_last(context):
    _propose(context, *context.proposed[-1])


@then('the outcomes are "{codes:Quoted}"')
def step_outcomes(context, codes):
    assert ", ".join(context.codes) == codes, context.codes
    context.codes.clear()


@when("{count:d} more changes are made and all VMs restart")
def step_many_changes(context, count):
    context.execute_steps(f"when {count} changes are made\nwhen all VMs are killed and start again")


@then('"{zone:w}" is not evacuated on any VM')
def step_not_evacuated(context, zone):
    for vm in context.simulation.vms.values():
        assert not vm.board.configuration.is_evacuated(zone), vm.name


@then('"{zone:w}" is evacuated on every VM, since the first of these commands')
def step_evacuated(context, zone):
    for vm in context.simulation.vms.values():
        assert vm.board.configuration.is_evacuated(zone), vm.name
        assert vm.board.configuration.evacuations[zone].revision == context.changed_at, vm.name


def _new_api(context, vm_name, leader_name, pauses):
    board = context.simulation.vms[vm_name].board
    proposer = SimulationProposer(context.simulation, leader_name)
    return ControlApi(board, None, None, Evacuations(board, proposer, pauses))


@given("a control VM in contact with all others")
def step_in_contact(context):
    leader = context.simulation.leader().name
    pauses = PauseDetector(context.simulation.clock)
    context.api = _new_api(context, follower_name(context), leader, pauses)
    context.other_api = _new_api(context, leader, leader, pauses)


@given("a control VM whose settings have no evacuations")
def step_no_setting(context):
    context.api = ControlApi(context.simulation.leader().board, None, None)


@given("a control VM that is the leader and cut off")
def step_cut_off(context):
    leader = context.simulation.leader().name
    context.simulation.isolate(leader)
    context.api = _new_api(context, leader, leader, PauseDetector(context.simulation.clock))


@given("a control VM that ran again after a pause of {seconds:g} s")
def step_paused(context, seconds):
    step_in_contact(context)
    context.simulation.run(seconds)


@given("a control VM that knows an older state of the zone")
def step_older_state(context):
    simulation = context.simulation
    leader, follower = simulation.leader().name, follower_name(context)
    simulation.isolate(follower)
    for kind in ("begin_evacuation", "finish_evacuation"):
        step_propose(context, kind, "z1")
    assert context.codes == ["accepted", "accepted"], context.codes
    assert simulation.vms[leader].board.election.role is Role.LEADER
    context.api = _new_api(context, follower, leader, PauseDetector(simulation.clock))


def _request(api, method, path):
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "CONTENT_LENGTH": "0",
        "wsgi.input": io.BytesIO(b""),
    }
    statuses = []
    api(environ, lambda status, _headers: statuses.append(int(status.partition(" ")[0])))
    return statuses[0]


@when('an operator sends "{method:w} {path}"')
def step_request(context, method, path):
    context.status = _request(context.api, method, path)
    leader = context.simulation.leader()
    evacuation = leader.board.configuration.evacuations.get("z1") if leader else None
    context.first_revision = evacuation.revision if evacuation else 0


@when('an operator sends "{method:w} {path}" to another control VM')
def step_request_elsewhere(context, method, path):
    context.simulation.run(STEP_S)
    context.status = _request(context.other_api, method, path)


@then("the HTTP status is {status:d}")
def step_status(context, status):
    assert context.status == status, context.status


@then('the zone "{zone:w}" has changed once')
def step_changed_once(context, zone):
    revision = context.simulation.leader().board.configuration.evacuations[zone].revision
    assert revision == context.first_revision > 0, (revision, context.first_revision)
