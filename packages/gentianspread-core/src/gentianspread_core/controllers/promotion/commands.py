"""Commands of promotions to endpoints: pause, resume, step down and promote."""

from __future__ import annotations

from ...blackboard import Board, Topic
from ...blackboard.groups import Promotion
from ...blackboard.outbox import EndpointCommand, EndpointCommandKind
from ...blackboard.registrations import Registration
from ..groupview import GroupView

COMMAND_TIMEOUT_S = 0.5  # a command waits for a slot, which a statement may hold for 60 ms
PROMOTE_TIMEOUT_S = 1.5  # a promotion takes up to 0.6 s


class PromotionCommands:
    """Posts commands as intents, and repeats those that failed."""

    __slots__ = ("board", "view", "_failed_resumes")

    def __init__(self, board: Board, view: GroupView) -> None:
        self.board = board
        self.view = view
        self._failed_resumes: list[EndpointCommand] = []

    def reset(self) -> None:
        """Forget the failed resumes."""
        self._failed_resumes.clear()

    def send(
        self, kind: EndpointCommandKind, registration: Registration, promotion: Promotion
    ) -> None:
        """Send a command to an endpoint, which is pending until it has ended."""
        promotion.pending_endpoints.add(registration.name)
        term = self.view.next_term(registration.group)
        self._post(kind, registration, promotion.fencing_token, term, COMMAND_TIMEOUT_S)

    def promote(self, registration: Registration, promotion: Promotion) -> None:
        """Call the platform to promote an endpoint."""
        token = promotion.fencing_token
        self._post(EndpointCommandKind.PROMOTE, registration, token, token, PROMOTE_TIMEOUT_S)

    def resume_replicas(self, promotion: Promotion, primary: str) -> None:
        """Resume the replicas that this or an earlier attempt may have paused."""
        for endpoint in self.view.endpoints_of(promotion.group):
            if endpoint.name != primary:
                self.send(EndpointCommandKind.RESUME_REPLICATION, endpoint, promotion)

    def repeat_with_newer_term(self, promotion: Promotion, command: EndpointCommand) -> bool:
        """Repeat a command whose term the endpoint refused as too old; return whether it was."""
        registration = self.board.configuration.endpoints.get(command.endpoint)
        health = self.board.groups.health.get(command.endpoint)
        is_outdated = not command.accepted and command.reported_term >= command.term
        if not is_outdated or registration is None or health is None:
            return False
        health.term = max(health.term, command.reported_term)
        self.send(command.kind, registration, promotion)
        return True

    def resume(self, replica: Registration, fencing_token: int) -> None:
        """Resume a replica outside a promotion; `fencing_token` is that of the last one."""
        term = self.view.next_term(replica.group)
        kind = EndpointCommandKind.RESUME_REPLICATION
        self._post(kind, replica, fencing_token, term, COMMAND_TIMEOUT_S)

    def note_resume(self, command: EndpointCommand) -> None:
        """Keep a resume that failed, to be sent again."""
        if not command.accepted:
            self._failed_resumes.append(command)

    def retry_resumes(self) -> None:
        """Resend failed resumes, unless a newer promotion may have paused the replica.

        One that is carried out late undoes a newer pause. The replica may then confirm commits,
        which no VM hands on while that promotion is under way.
        """
        commands, self._failed_resumes = self._failed_resumes, []
        for command in commands:
            group = self.board.configuration.groups.get(command.group)
            registration = self.board.configuration.endpoints.get(command.endpoint)
            is_current = group is not None and group.granted_term == command.fencing_token
            if is_current and registration is not None:
                token = command.fencing_token
                self._post(command.kind, registration, token, command.term, COMMAND_TIMEOUT_S)

    def _post(
        self,
        kind: EndpointCommandKind,
        registration: Registration,
        fencing_token: int,
        term: int,
        timeout_s: float,
    ) -> None:
        command = EndpointCommand(
            kind,
            registration.name,
            registration.address,
            registration.group,
            term,
            "",
            timeout_s,
            fencing_token,
        )
        self.board.changes.post(Topic.INTENT_POSTED, command)
