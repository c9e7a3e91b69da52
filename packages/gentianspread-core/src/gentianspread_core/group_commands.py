"""Commands of the control log about the terms and primaries of groups, and departed replicas."""

from __future__ import annotations

from .blackboard.commands import Command
from .blackboard.configuration import Configuration, Group
from .blackboard.departures import Departure, DepartureEvidence, departure_label
from .blackboard.registrations import Registration
from .blackboard.successions import Succession
from .blackboard.votingmembers import VotingMembers
from .errors import ChangeRejected, ErrorCode
from .positions import LOG_START, Position


def list_departed(
    configuration: Configuration, endpoint: Registration, evidence: DepartureEvidence
) -> None:
    """List a replica's incarnation as departed from its group.

    A commit that only it had confirmed may now be on the primary alone, which keeps its log when it
    starts again; a replica does not, nor does a named primary that has not led yet.
    """
    group = configuration.groups.get(endpoint.group)
    if group is None or not group.counts_own_terms:
        return
    if endpoint.name == group.primary and configuration.has_led(group):
        return
    label = departure_label(endpoint.name, endpoint.incarnation)
    group.departed = [*group.departed, label]
    if evidence is not DepartureEvidence.REPLACED:
        configuration.departures[label] = Departure(
            label,
            group.name,
            endpoint.name,
            endpoint.incarnation,
            endpoint.address,
            evidence is DepartureEvidence.DEREGISTERED,
        )


def note_start(configuration: Configuration, registration: Registration) -> None:
    """Note which departed replicas have ended, as the start of another endpoint proves.

    One that registers again counts as a replica again.
    """
    for departure in list(configuration.departures.values()):
        if departure.has_ended_before(
            registration.name, registration.address, registration.incarnation
        ):
            del configuration.departures[departure.label]
    label = departure_label(registration.name, registration.incarnation)
    departure = configuration.departures.pop(label, None)
    group = configuration.groups.get(departure.group) if departure is not None else None
    if group is not None:
        group.departed = [item for item in group.departed if item != label]


def clear_departures(configuration: Configuration, command: Command) -> None:
    """Clear departed replicas, as another replica has every commit that they confirmed."""
    group = require_group(configuration, command.fields["group"])
    cleared = command.fields["names"]
    group.departed = [name for name in group.departed if name not in cleared]
    for label in cleared:
        configuration.departures.pop(label, None)


def grant_term(configuration: Configuration, command: Command) -> None:
    """Grant a term, unless that or a newer one was granted."""
    group = require_group(configuration, command.fields["group"])
    term = command.fields["term"]
    if term <= group.granted_term:
        raise ChangeRejected(
            ErrorCode.REVISION_CONFLICT,
            f"Term {term} of {group.name} is taken.",
        )
    group.granted_term = term
    members = configuration.voting_members.get(group.name)
    if members is not None:
        members.settle(command.fields.get("settled_term", 0))


def set_primary(configuration: Configuration, command: Command) -> None:
    """Name the primary of the newest term, which ends a promotion, or confirm that it leads."""
    group = require_group(configuration, command.fields["group"])
    term = command.fields["term"]
    if term != group.granted_term:
        raise ChangeRejected(
            ErrorCode.REVISION_CONFLICT,
            f"Term {term} of {group.name} was overtaken.",
        )
    endpoint = command.fields["endpoint"]
    kept = Position.from_pair(command.fields.get("kept", LOG_START.to_pair()))
    is_new = group.primary != endpoint
    is_confirmation = not (is_new or configuration.has_led(group))
    leads = command.fields.get("leads", True)
    group.term = term
    if group.counts_own_terms and group.primary is not None:
        is_interrupted = is_new or not command.fields.get("led_throughout", True)
        if is_interrupted:
            configuration.successions[group.name] = Succession(
                group.name, configuration.revision, kept.term, kept.index, leads
            )
        elif is_confirmation and leads:
            revision = configuration.successions[group.name].revision
            configuration.successions[group.name] = Succession(
                group.name, revision, kept.term, kept.index
            )
    covers_departed = command.fields.get("covers_departed", True)
    if (is_new or is_confirmation) and leads and covers_departed:
        # One that may still run can confirm commits of the new primary too.
        group.departed = [label for label in group.departed if label in configuration.departures]
    group.primary = endpoint
    if not group.counts_own_terms:
        _renew_voting_members(configuration, group)


def _renew_voting_members(configuration: Configuration, group: Group) -> None:
    """Let the endpoints that are registered now count in the majorities of a new term."""
    names = [item.name for item in configuration.endpoints.values() if item.group == group.name]
    members = configuration.voting_members.get(group.name)
    configuration.voting_members[group.name] = (
        members.successor(group.term, names, group.size)
        if members is not None
        else VotingMembers(group.name, group.term, names, group.size, [], 0)
    )


def require_group(configuration: Configuration, name: str) -> Group:
    """Return a group, or reject the command."""
    group = configuration.groups.get(name)
    if group is None:
        raise ChangeRejected(ErrorCode.INVALID_CHANGE, f"There is no group named {name}.")
    return group
