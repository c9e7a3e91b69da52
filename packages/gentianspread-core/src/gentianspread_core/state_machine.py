"""State machine of the control log: applies commands to the configuration."""

from __future__ import annotations

from collections.abc import Callable

from .blackboard.commands import (
    OPERATOR_KINDS,
    ChangeOutcome,
    Command,
    CommandKind,
    Preset,
)
from .blackboard.configuration import (
    Allocator,
    Configuration,
    Evacuation,
    Group,
    Key,
    Member,
    Workspace,
    apply_declaration,
)
from .blackboard.declarations import Declaration
from .blackboard.departures import DepartureEvidence
from .blackboard.registrations import Registration, find_fault
from .blackboard.warmups import Warmup
from .errors import ChangeRejected, ErrorCode
from .group_commands import (
    clear_departures,
    grant_term,
    list_departed,
    note_start,
    set_primary,
)

MAX_UNREGISTERED_REVISIONS = 1000  # an endpoint registers with the announcement of its warm-up


def apply_command(configuration: Configuration, index: int, command: Command) -> ChangeOutcome:
    """Apply the command at a log index and return its outcome.

    A resend, recognised by its change id, is not applied again and gets the first outcome.
    """
    configuration.revision = index
    first_outcome = configuration.outcomes.get(command.change_id)
    if first_outcome is not None:
        return first_outcome
    try:
        _check_revision(configuration, command)
        _HANDLERS[command.kind](configuration, command)
    except ChangeRejected as rejection:
        outcome = _reject(configuration, rejection)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        # All VMs meet the same entry; one that stopped here would stop at every restart.
        message = f"The entry cannot be read: {error!r}."
        outcome = _reject(configuration, ChangeRejected(ErrorCode.UNREADABLE_ENTRY, message))
    else:
        if command.kind in OPERATOR_KINDS:
            configuration.operator_revision += 1
        outcome = ChangeOutcome(True, configuration.operator_revision, "", "")
    configuration.store_outcome(command.change_id, outcome)
    return outcome


def _reject(configuration: Configuration, rejection: ChangeRejected) -> ChangeOutcome:
    return ChangeOutcome(
        False, configuration.operator_revision, rejection.code.value, rejection.message
    )


def _check_revision(configuration: Configuration, command: Command) -> None:
    expected = command.expected_revision
    if expected is None or expected == configuration.operator_revision:
        return
    raise ChangeRejected(
        ErrorCode.REVISION_CONFLICT,
        f"The change was decided on revision {expected}, "
        f"but revision {configuration.operator_revision} is in force.",
    )


def _no_op(configuration: Configuration, command: Command) -> None:
    """Leave the configuration unchanged; a new leader appends this at the start of its term."""


def _reject_unreadable(configuration: Configuration, command: Command) -> None:
    raise ChangeRejected(ErrorCode.UNREADABLE_ENTRY, "The entry is of no known kind.")


def _create_workspace(configuration: Configuration, command: Command) -> None:
    name = command.fields["name"]
    if name in configuration.workspaces:
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, f"Workspace {name} exists already.")
    rate, burst = command.fields["rate"], command.fields["burst"]
    configuration.workspaces[name] = Workspace(name, rate, burst)


def _add_key(configuration: Configuration, command: Command) -> None:
    workspace = command.fields["workspace"]
    _require_workspace(configuration, workspace)
    key_hash = command.fields["key_hash"]
    if key_hash in configuration.keys:
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, "This key was given before.")
    name = command.fields["name"]
    if any(key.name == name for key in configuration.keys.values()):
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, f"A key named {name} exists already.")
    configuration.keys[key_hash] = Key(name, key_hash, workspace, False)


def _revoke_key(configuration: Configuration, command: Command) -> None:
    name = command.fields["name"]
    for key in configuration.keys.values():
        if key.name == name:
            key.withdrawn = True
            return
    raise ChangeRejected(ErrorCode.INVALID_CHANGE, f"There is no key named {name}.")


def _set_preset(configuration: Configuration, command: Command) -> None:
    configuration.preset = Preset(command.fields["preset"])


def _add_open_route(configuration: Configuration, command: Command) -> None:
    configuration.open_routes[command.fields["name"]] = command.fields["group"]


def _set_draining(configuration: Configuration, command: Command) -> None:
    name = command.fields["name"]
    member = configuration.members.get(name)
    if member is None:
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, f"There is no VM named {name}.")
    member.draining = command.fields.get("draining", True)


def _register_member(configuration: Configuration, command: Command) -> None:
    fields = command.fields
    registered = configuration.members.get(fields["name"])
    draining = registered.draining if registered else False
    configuration.members[fields["name"]] = Member(
        fields["name"], fields["address"], fields["zone"], fields["has_disk"], draining
    )


def _remove_member(configuration: Configuration, command: Command) -> None:
    configuration.members.pop(command.fields["name"], None)


def _register_endpoint(configuration: Configuration, command: Command) -> None:
    fault = find_fault(command.fields)
    if fault:
        raise ChangeRejected(ErrorCode.UNREADABLE_ENTRY, f"The registration is invalid: {fault}.")
    registration = Registration(**command.fields)
    if not configuration.may_have_group(registration.group):
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, "The group is not declared.")
    current = configuration.endpoints.get(registration.name)
    if current is not None and current.incarnation and not registration.is_newer_than(current):
        raise ChangeRejected(ErrorCode.REVISION_CONFLICT, "A newer announcement is known.")
    if registration.incarnation and not _evict_older_at_address(configuration, registration):
        raise ChangeRejected(ErrorCode.REVISION_CONFLICT, "A newer endpoint has this address.")
    if current is not None and registration.incarnation > current.incarnation > 0:
        list_departed(configuration, current, DepartureEvidence.REPLACED)
    note_start(configuration, registration)
    configuration.endpoints[registration.name] = registration
    _resize_group(configuration, registration.group)


def _evict_older_at_address(configuration: Configuration, registration: Registration) -> bool:
    """Remove an older endpoint at the same address; return false if the other one is newer."""
    for other in list(configuration.endpoints.values()):
        if other.address != registration.address or other.name == registration.name:
            continue
        if other.incarnation > registration.incarnation:
            return False
        _remove_endpoint(configuration, other, DepartureEvidence.REPLACED)
    return True


def _remove_endpoint(
    configuration: Configuration, endpoint: Registration, evidence: DepartureEvidence
) -> None:
    """Remove an endpoint's registration; only another start proves that it has ended."""
    del configuration.endpoints[endpoint.name]
    configuration.warmups.pop(endpoint.name, None)
    list_departed(configuration, endpoint, evidence)


def _deregister_endpoint(configuration: Configuration, command: Command) -> None:
    """Remove an endpoint that said that it ends, or that the control leader does not reach."""
    endpoint = configuration.endpoints.get(command.fields["name"])
    evidence = DepartureEvidence(
        command.fields.get("evidence", DepartureEvidence.DEREGISTERED.value)
    )
    if endpoint is not None and endpoint.incarnation <= command.fields["incarnation"]:
        _remove_endpoint(configuration, endpoint, evidence)


def _apply_declaration(configuration: Configuration, command: Command) -> None:
    """Replace the declared configuration, unless the current one is at least as new."""
    declaration = Declaration.from_record(command.fields)
    current = configuration.declaration
    if current is not None and declaration.version <= current.version:
        return
    apply_declaration(configuration, declaration)
    _add_declared_groups(configuration, declaration)


def _apply_declaration_change(configuration: Configuration, command: Command) -> None:
    """Apply a difference to the declaration.

    Only VMs that serve callers receive differences; the log holds whole declarations.
    """
    current = configuration.declaration
    if current is None or current.version != command.fields["base"]:
        raise ChangeRejected(
            ErrorCode.REVISION_CONFLICT,
            "The change is of another declaration.",
        )
    apply_declaration(configuration, current.with_delta(command.fields))
    _add_declared_groups(configuration, configuration.declaration)


def _add_declared_groups(configuration: Configuration, declaration: Declaration) -> None:
    for declared in declaration.groups:
        group = configuration.groups.setdefault(declared.name, Group(declared.name, 0, 0, None, 0))
        group.counts_own_terms = True


def _resize_group(configuration: Configuration, name: str) -> None:
    endpoints = [
        endpoint for endpoint in configuration.endpoints.values() if endpoint.group == name
    ]
    announced = max(endpoint.group_size for endpoint in endpoints)
    group = configuration.groups.setdefault(name, Group(name, 0, 0, None, announced))
    group.size = max(group.size, announced, len(endpoints))
    members = configuration.voting_members.get(name)
    for endpoint in endpoints if members is not None else ():
        members.add(endpoint.name)


def _set_leaving(configuration: Configuration, command: Command) -> None:
    endpoint = configuration.endpoints.get(command.fields["name"])
    if endpoint is None:
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, "There is no such endpoint.")
    endpoint.leaving = command.fields["leaving"]


def _set_warmup(configuration: Configuration, command: Command) -> None:
    """Store what an endpoint announced of its warm-up; it may register only after this."""
    fields = command.fields
    warmup = Warmup(
        fields["name"],
        fields["incarnation"],
        fields["sequence"],
        fields["remaining_s"],
        configuration.revision,
    )
    if not warmup.is_valid():
        raise ChangeRejected(ErrorCode.UNREADABLE_ENTRY, "The warm-up is invalid.")
    current = configuration.warmups.get(warmup.name)
    if current is not None and not warmup.is_newer_than(current):
        raise ChangeRejected(ErrorCode.REVISION_CONFLICT, "A newer announcement is known.")
    _remove_unused_warmups(configuration)
    configuration.warmups[warmup.name] = warmup


def _doubt_endpoint(configuration: Configuration, command: Command) -> None:
    """Mark an endpoint to which a VM lost connections, so that its next announcement is news."""
    endpoint = configuration.endpoints.get(command.fields["name"])
    if endpoint is None or endpoint.incarnation != command.fields["incarnation"]:
        raise ChangeRejected(ErrorCode.REVISION_CONFLICT, "The endpoint has started again or left.")
    announced = Warmup(endpoint.name, endpoint.incarnation, endpoint.sequence, 0.0, 0)
    configuration.warmups.setdefault(endpoint.name, announced).is_doubted = True


def _remove_unused_warmups(configuration: Configuration) -> None:
    """Remove the warm-ups of endpoints that have not registered for many revisions."""
    oldest = configuration.revision - MAX_UNREGISTERED_REVISIONS
    for name, warmup in list(configuration.warmups.items()):
        if name not in configuration.endpoints and warmup.revision < oldest:
            del configuration.warmups[name]


def _set_allocator(configuration: Configuration, command: Command) -> None:
    zone = command.fields["zone"]
    previous = configuration.allocators.get(zone)
    epoch = previous.epoch + 1 if previous else 1
    configuration.allocators[zone] = Allocator(
        zone, command.fields["member"], epoch, configuration.revision
    )


def _begin_evacuation(configuration: Configuration, command: Command) -> None:
    _set_evacuation(configuration, command, is_active=True)


def _finish_evacuation(configuration: Configuration, command: Command) -> None:
    _set_evacuation(configuration, command, is_active=False)


def _set_evacuation(configuration: Configuration, command: Command, is_active: bool) -> None:
    """Begin or finish the evacuation of a zone, unless a newer command about it was accepted.

    A command for what is in force already is accepted and changes only the zone's last revision.
    """
    zone, expected = command.fields["zone"], command.fields["expected_revision"]
    if not isinstance(zone, str) or not isinstance(expected, int):
        raise TypeError("the zone is not a text or the expected revision not a number")
    index, current = configuration.revision, configuration.evacuation_revision(zone)
    if configuration.is_evacuated(zone) is is_active:
        before = configuration.evacuations.get(zone)
        changed = Evacuation(zone, is_active, before.revision if before else 0, index)
    elif expected == current:
        changed = Evacuation(zone, is_active, index, index)
    else:
        raise ChangeRejected(
            ErrorCode.REVISION_CONFLICT,
            f"A command about zone {zone} was accepted at revision {current}, after {expected}.",
        )
    configuration.evacuations = {**configuration.evacuations, zone: changed}


def _set_warmup_allocator(configuration: Configuration, command: Command) -> None:
    zone = command.fields["zone"]
    previous = configuration.warmup_allocators.get(zone)
    configuration.warmup_allocators[zone] = Allocator(
        zone,
        command.fields["member"],
        previous.epoch + 1 if previous else 1,
        configuration.revision,
    )


def _set_voters(configuration: Configuration, command: Command) -> None:
    configuration.voters = list(command.fields["voters"])
    configuration.learners = list(command.fields["learners"])
    configuration.incarnations = dict(command.fields.get("incarnations", {}))


def _require_workspace(configuration: Configuration, name: str) -> None:
    if name not in configuration.workspaces:
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, f"There is no workspace named {name}.")


_HANDLERS: dict[CommandKind, Callable[[Configuration, Command], None]] = {
    CommandKind.NO_OP: _no_op,
    CommandKind.UNREADABLE: _reject_unreadable,
    CommandKind.CREATE_WORKSPACE: _create_workspace,
    CommandKind.GIVE_KEY: _add_key,
    CommandKind.WITHDRAW_KEY: _revoke_key,
    CommandKind.SWITCH_PRESET: _set_preset,
    CommandKind.OPEN_ROUTE: _add_open_route,
    CommandKind.DRAIN_MEMBER: _set_draining,
    CommandKind.REGISTER_MEMBER: _register_member,
    CommandKind.REMOVE_MEMBER: _remove_member,
    CommandKind.REGISTER_ENDPOINT: _register_endpoint,
    CommandKind.ENDPOINT_LEAVING: _set_leaving,
    CommandKind.GRANT_TERM: grant_term,
    CommandKind.NAME_PRIMARY: set_primary,
    CommandKind.NAME_ALLOCATOR: _set_allocator,
    CommandKind.CHANGE_VOTERS: _set_voters,
    CommandKind.VOTER_JOINED: _no_op,
    CommandKind.DECLARE: _apply_declaration,
    CommandKind.CHANGE_DECLARATION: _apply_declaration_change,
    CommandKind.ENDPOINT_GONE: _deregister_endpoint,
    CommandKind.DEPARTURES_COVERED: clear_departures,
    CommandKind.BEGIN_EVACUATION: _begin_evacuation,
    CommandKind.FINISH_EVACUATION: _finish_evacuation,
    CommandKind.ENDPOINT_WARMUP: _set_warmup,
    CommandKind.ENDPOINT_DOUBTED: _doubt_endpoint,
    CommandKind.NAME_WARMUP_ALLOCATOR: _set_warmup_allocator,
}
