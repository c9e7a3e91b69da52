"""The state machine of the control log: applies one command to a configuration."""

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
    Group,
    Key,
    Member,
    Registration,
    Workspace,
    take_declaration,
)
from .blackboard.declarations import Declaration
from .errors import ChangeRejected, ErrorCode


def apply_command(configuration: Configuration, index: int, command: Command) -> ChangeOutcome:
    """Apply a command at a log index and return its outcome; a resend gets the first outcome."""
    configuration.revision = index
    known = configuration.outcomes.get(command.change_id)
    if known is not None:
        return known
    try:
        _check_revision(configuration, command)
        _HANDLERS[command.kind](configuration, command)
    except ChangeRejected as rejection:
        outcome = ChangeOutcome(
            False, configuration.operator_revision, rejection.code.value, rejection.message
        )
    else:
        if command.kind in OPERATOR_KINDS:
            configuration.operator_revision += 1
        outcome = ChangeOutcome(True, configuration.operator_revision, "", "")
    configuration.remember(command.change_id, outcome)
    return outcome


def _check_revision(configuration: Configuration, command: Command) -> None:
    expected = command.expected_revision
    if expected is None or expected == configuration.operator_revision:
        return
    raise ChangeRejected(
        ErrorCode.REVISION_CONFLICT,
        f"The change was decided on revision {expected}, "
        f"but revision {configuration.operator_revision} is in force.",
    )


def _nothing(configuration: Configuration, command: Command) -> None:
    """Leave the configuration as it is; marks the start of a leader's term."""


def _create_workspace(configuration: Configuration, command: Command) -> None:
    name = command.fields["name"]
    if name in configuration.workspaces:
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, f"Workspace {name} exists already.")
    rate, burst = command.fields["rate"], command.fields["burst"]
    configuration.workspaces[name] = Workspace(name, rate, burst)


def _give_key(configuration: Configuration, command: Command) -> None:
    workspace = command.fields["workspace"]
    _require_workspace(configuration, workspace)
    key_hash = command.fields["key_hash"]
    if key_hash in configuration.keys:
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, "This key was given before.")
    name = command.fields["name"]
    if any(key.name == name for key in configuration.keys.values()):
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, f"A key named {name} exists already.")
    configuration.keys[key_hash] = Key(name, key_hash, workspace, False)


def _withdraw_key(configuration: Configuration, command: Command) -> None:
    name = command.fields["name"]
    for key in configuration.keys.values():
        if key.name == name:
            key.withdrawn = True
            return
    raise ChangeRejected(ErrorCode.INVALID_CHANGE, f"There is no key named {name}.")


def _switch_preset(configuration: Configuration, command: Command) -> None:
    configuration.preset = Preset(command.fields["preset"])


def _open_route(configuration: Configuration, command: Command) -> None:
    configuration.open_routes[command.fields["name"]] = command.fields["group"]


def _drain_member(configuration: Configuration, command: Command) -> None:
    name = command.fields["name"]
    member = configuration.members.get(name)
    if member is None:
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, f"There is no VM named {name}.")
    member.draining = command.fields.get("draining", True)


def _register_member(configuration: Configuration, command: Command) -> None:
    fields = command.fields
    known = configuration.members.get(fields["name"])
    draining = known.draining if known else False
    configuration.members[fields["name"]] = Member(
        fields["name"], fields["address"], fields["zone"], fields["has_disk"], draining
    )


def _remove_member(configuration: Configuration, command: Command) -> None:
    configuration.members.pop(command.fields["name"], None)


def _register_endpoint(configuration: Configuration, command: Command) -> None:
    registration = Registration(**command.fields)
    known = configuration.endpoints.get(registration.name)
    if known is not None and known.incarnation and not registration.is_newer_than(known):
        raise ChangeRejected(ErrorCode.REVISION_CONFLICT, "A newer announcement is known.")
    if registration.incarnation and not _takes_address(configuration, registration):
        raise ChangeRejected(ErrorCode.REVISION_CONFLICT, "A newer endpoint has this address.")
    configuration.endpoints[registration.name] = registration
    _resize_group(configuration, registration.group)


def _takes_address(configuration: Configuration, registration: Registration) -> bool:
    """Remove an older endpoint at the same address; return false if that one is newer."""
    for other in list(configuration.endpoints.values()):
        if other.address != registration.address or other.name == registration.name:
            continue
        if other.incarnation > registration.incarnation:
            return False
        _remove_endpoint(configuration, other)
    return True


def _remove_endpoint(configuration: Configuration, gone: Registration) -> None:
    """Forget an endpoint, but not that a commit may be on the primary alone since it left."""
    del configuration.endpoints[gone.name]
    group = configuration.groups.get(gone.group)
    if group is not None and group.counts_own_terms and gone.name != group.primary:
        group.departed = [*group.departed, gone.name]


def _endpoint_gone(configuration: Configuration, command: Command) -> None:
    known = configuration.endpoints.get(command.fields["name"])
    if known is not None and known.incarnation <= command.fields["incarnation"]:
        _remove_endpoint(configuration, known)


def _departures_covered(configuration: Configuration, command: Command) -> None:
    group = _require_group(configuration, command.fields["group"])
    covered = command.fields["names"]
    group.departed = [name for name in group.departed if name not in covered]


def _declare(configuration: Configuration, command: Command) -> None:
    """Replace the declared configuration, unless the one in force is as new."""
    declaration = Declaration.from_record(command.fields)
    held = configuration.declaration
    if held is not None and declaration.version <= held.version:
        return
    take_declaration(configuration, declaration)
    _take_groups(configuration, declaration)


def _change_declaration(configuration: Configuration, command: Command) -> None:
    """Change the declaration in force; only VMs that serve callers are sent changes."""
    held = configuration.declaration
    if held is None or held.version != command.fields["base"]:
        raise ChangeRejected(ErrorCode.REVISION_CONFLICT, "The change is of another declaration.")
    take_declaration(configuration, held.changed(command.fields))
    _take_groups(configuration, configuration.declaration)


def _take_groups(configuration: Configuration, declaration: Declaration) -> None:
    for item in declaration.groups:
        group = configuration.groups.setdefault(item.name, Group(item.name, 0, 0, None, 0))
        group.counts_own_terms = True


def _resize_group(configuration: Configuration, name: str) -> None:
    endpoints = [item for item in configuration.endpoints.values() if item.group == name]
    announced = max(item.group_size for item in endpoints)
    group = configuration.groups.setdefault(name, Group(name, 0, 0, None, announced))
    group.size = max(group.size, announced, len(endpoints))


def _endpoint_leaving(configuration: Configuration, command: Command) -> None:
    endpoint = configuration.endpoints.get(command.fields["name"])
    if endpoint is None:
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, "There is no such endpoint.")
    endpoint.leaving = command.fields["leaving"]


def _grant_term(configuration: Configuration, command: Command) -> None:
    group = _require_group(configuration, command.fields["group"])
    term = command.fields["term"]
    if term <= group.granted_term:
        raise ChangeRejected(ErrorCode.REVISION_CONFLICT, f"Term {term} of {group.name} is taken.")
    group.granted_term = term


def _name_primary(configuration: Configuration, command: Command) -> None:
    group = _require_group(configuration, command.fields["group"])
    term = command.fields["term"]
    if term != group.granted_term:
        raise ChangeRejected(
            ErrorCode.REVISION_CONFLICT, f"Term {term} of {group.name} was overtaken."
        )
    group.term = term
    if group.primary != command.fields["endpoint"]:
        group.departed = []
    group.primary = command.fields["endpoint"]


def _name_allocator(configuration: Configuration, command: Command) -> None:
    zone = command.fields["zone"]
    known = configuration.allocators.get(zone)
    epoch = known.epoch + 1 if known else 1
    configuration.allocators[zone] = Allocator(
        zone, command.fields["member"], epoch, configuration.revision
    )


def _change_voters(configuration: Configuration, command: Command) -> None:
    configuration.voters = list(command.fields["voters"])
    configuration.learners = list(command.fields["learners"])
    members = {*configuration.voters, *configuration.learners}
    configuration.joined_voters = [item for item in configuration.joined_voters if item in members]


def _voter_joined(configuration: Configuration, command: Command) -> None:
    name = command.fields["name"]
    if name not in configuration.joined_voters:
        configuration.joined_voters.append(name)


def _require_workspace(configuration: Configuration, name: str) -> None:
    if name not in configuration.workspaces:
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, f"There is no workspace named {name}.")


def _require_group(configuration: Configuration, name: str) -> Group:
    group = configuration.groups.get(name)
    if group is None:
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, f"There is no group named {name}.")
    return group


_HANDLERS: dict[CommandKind, Callable[[Configuration, Command], None]] = {
    CommandKind.NOTHING: _nothing,
    CommandKind.CREATE_WORKSPACE: _create_workspace,
    CommandKind.GIVE_KEY: _give_key,
    CommandKind.WITHDRAW_KEY: _withdraw_key,
    CommandKind.SWITCH_PRESET: _switch_preset,
    CommandKind.OPEN_ROUTE: _open_route,
    CommandKind.DRAIN_MEMBER: _drain_member,
    CommandKind.REGISTER_MEMBER: _register_member,
    CommandKind.REMOVE_MEMBER: _remove_member,
    CommandKind.REGISTER_ENDPOINT: _register_endpoint,
    CommandKind.ENDPOINT_LEAVING: _endpoint_leaving,
    CommandKind.GRANT_TERM: _grant_term,
    CommandKind.NAME_PRIMARY: _name_primary,
    CommandKind.NAME_ALLOCATOR: _name_allocator,
    CommandKind.CHANGE_VOTERS: _change_voters,
    CommandKind.VOTER_JOINED: _voter_joined,
    CommandKind.DECLARE: _declare,
    CommandKind.CHANGE_DECLARATION: _change_declaration,
    CommandKind.ENDPOINT_GONE: _endpoint_gone,
    CommandKind.DEPARTURES_COVERED: _departures_covered,
}
