"""Formats the status, problems with their remedies, and the timeline as lines of text."""

from __future__ import annotations

import datetime
from typing import Any

MAX_CONTACT_AGE_S = 3.0
MS_PER_S = 1000


class Finding:
    """A problem, with what the system does about it, and what the operator can do."""

    __slots__ = ("problem", "remedy")

    def __init__(self, problem: str, remedy: str) -> None:
        self.problem = problem
        self.remedy = remedy


def status_lines(status: dict[str, Any]) -> list[str]:
    """Return the fleet's state, problems first."""
    findings = find_problems(status)
    headline = "All is well." if not findings else f"{len(findings)} problem(s) need attention:"
    lines = [headline]
    lines += [f"  - {finding.problem}" for finding in findings]
    lines.append(
        f"Preset {status['preset']}; revision {status['revision']}; "
        f"control leader {status['leader'] or 'none'}; seen from {status['vm']}."
    )
    behind = [item["name"] for item in _sorted(status["members"]) if _is_behind(status, item)]
    if behind:
        lines.append(f"Revision {status['revision']} is not yet on: {', '.join(behind)}.")
    evacuated = [item for item in status.get("evacuations", []) if item["is_active"]]
    if evacuated:
        zones = ", ".join(f"{item['zone']} (revision {item['revision']})" for item in evacuated)
        lines.append(f"Evacuated zones: {zones}.")
    lines.append("VMs:")
    lines += [_member_line(status, member) for member in _sorted(status["members"])]
    lines.append("Database groups:")
    lines += [_group_line(status, group) for group in _sorted(status["groups"])]
    lines.append("Workspaces:")
    lines += [_workspace_line(status, item) for item in _sorted(status["workspaces"])]
    return lines


def doctor_lines(status: dict[str, Any]) -> tuple[list[str], bool]:
    """Return the problems with their remedies, and whether the fleet is healthy."""
    findings = find_problems(status)
    if not findings:
        return ["Nothing is wrong."], True
    lines = []
    for finding in findings:
        lines.append(finding.problem)
        lines.append(f"  Remedy: {finding.remedy}")
    return lines, False


def find_problems(status: dict[str, Any]) -> list[Finding]:
    """Return all problems that a status shows."""
    findings: list[Finding] = []
    if status["leader"] is None or not status["fresh"]:
        findings.append(
            Finding(
                "No majority of the control voters agrees; keyed requests are refused.",
                "Start the stopped voters; two of three must run and reach each other.",
            )
        )
    findings += [
        finding for item in status["members"] for finding in _member_problems(status, item)
    ]
    findings += [finding for item in status["groups"] for finding in _group_problems(item)]
    findings += _standby_problems(status)
    for invariant, count in status["invariant_breaks"].items():
        findings.append(
            Finding(
                f"The invariant '{invariant}' was violated {count} time(s).",
                "Send the timeline to the developers.",
            )
        )
    return findings


def timeline_lines(events: list[dict[str, Any]]) -> list[str]:
    """Return one line per event."""
    return [_event_line(event) for event in events]


def _member_problems(status: dict[str, Any], member: dict[str, Any]) -> list[Finding]:
    if member["draining"]:
        return []
    seen = member["seen_s"]
    if seen is None or seen > MAX_CONTACT_AGE_S:
        last_contact = "never" if seen is None else f"{seen:.0f} s ago"
        return [
            Finding(
                f"VM {member['name']} in {member['zone']} does not respond (last contact: "
                f"{last_contact}); the other VMs serve its callers.",
                "Start its process, or drain it if it will not return.",
            )
        ]
    return []


def _is_behind(status: dict[str, Any], member: dict[str, Any]) -> bool:
    revision = member["revision"]
    return not member["draining"] and (revision is None or revision < status["revision"])


def _group_problems(group: dict[str, Any]) -> list[Finding]:
    if group["primary"] is None or group["granted_term"] != group["term"]:
        return [
            Finding(
                f"Group {group['name']} has no primary; a promotion is under way.",
                "Make sure that two of its three endpoints run.",
            )
        ]
    return []


def _standby_problems(status: dict[str, Any]) -> list[Finding]:
    members_with_disk = [member for member in status["members"] if member["has_disk"]]
    if len(members_with_disk) <= len(status["voters"]):
        return [
            Finding(
                "There is no standby: a lost control voter could not be replaced.",
                "Start one more VM with --data_dir.",
            )
        ]
    return []


def _member_line(status: dict[str, Any], member: dict[str, Any]) -> str:
    roles = []
    if member["name"] == status["leader"]:
        roles.append("control leader")
    elif member["name"] in status["voters"]:
        roles.append("control voter")
    elif member["has_disk"]:
        roles.append("standby")
    if any(item["member"] == member["name"] for item in status["allocators"]):
        roles.append("allocator")
    if member["draining"]:
        roles.append("drained")
    seen = "never" if member["seen_s"] is None else f"{member['seen_s']:.1f} s ago"
    revision = "-" if member["revision"] is None else member["revision"]
    return (
        f"  {member['name']:<8} {member['zone']:<10} {member['address']:<20} "
        f"seen {seen:<10} revision {revision:<6} {', '.join(roles)}"
    )


def _group_line(status: dict[str, Any], group: dict[str, Any]) -> str:
    endpoints = [item for item in status["endpoints"] if item["group"] == group["name"]]
    names = ", ".join(
        item["name"] + (" (leaving)" if item["leaving"] else "") for item in _sorted(endpoints)
    )
    return (
        f"  {group['name']:<10} primary {group['primary'] or 'none':<14} "
        f"term {group['term']:<4} endpoints {names}"
    )


def _workspace_line(status: dict[str, Any], workspace: dict[str, Any]) -> str:
    keys = [
        key["name"]
        for key in status["keys"]
        if key["workspace"] == workspace["name"] and not key["withdrawn"]
    ]
    return (
        f"  {workspace['name']:<12} {workspace['rate']:g} requests/s, burst "
        f"{workspace['burst']:g}, keys: {', '.join(keys) or 'none'}"
    )


def _event_line(event: dict[str, Any]) -> str:
    time = datetime.datetime.fromtimestamp(event["wall_ms"] / MS_PER_S).isoformat(
        timespec="milliseconds"
    )
    details = " ".join(f"{name}={value}" for name, value in event["details"].items() if value)
    cause = f" because {event['cause']}" if event["cause"] else ""
    subject = f"{event['kind']}: {event['subject']}{cause}"
    return f"{time} {event['member']:<8} {subject} {details}".rstrip()


def _sorted(items: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return sorted(items, key=lambda item: str(item["name"]))
