"""Deterministic simulation of promotions beside VMs and endpoints that are partly out of touch.

Endpoints acknowledge a commit only once a replica has received it. Commands and promote calls may
be carried out late, and an endpoint leads some time after its call.
"""

from __future__ import annotations

from typing import Any

from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.log import SyncedRecords
from gentianspread_core.blackboard.outbox import (
    EndpointCommand,
    EndpointCommandKind,
    EndpointProbe,
    UnreachableReason,
)
from gentianspread_core.blackboard.requests import ExchangeStatus
from gentianspread_core.blackboard.sessions import (
    SessionExchange,
    SessionReply,
    SessionRequest,
    Verb,
)
from gentianspread_core.positions import Position

from .home_simulation import POLL_INTERVAL_S, HomeSimulation
from .session_endpoint import FakeSessionEndpoint

EFFECT_DELAY_S = 0.3  # from a promote call to the moment when its endpoint leads


class HeldReply:
    """The reply to a commit that no replica has received yet."""

    __slots__ = ("board", "request", "exchange", "reply", "position")

    def __init__(
        self, board: Board, request: SessionRequest, exchange: SessionExchange, reply: SessionReply
    ) -> None:
        self.board = board
        self.request = request
        self.exchange = exchange
        self.reply = reply
        self.position: Position = reply.position


class PromotionSimulation(HomeSimulation):
    """The VMs of `HomeSimulation`, whose base class's VM leads the control log.

    The control leader reaches none of `cut_off_endpoints`; the other VMs and endpoints do. Those in
    `refusing_endpoints` refuse connections of VMs, and go on replicating if they run. The next
    commands of the kinds in `late_commands` get no answer and are carried out after that many
    seconds; those in `slow_commands` are answered then. `called` has the promote calls that were
    sent, `acknowledged` the ids of the writes that callers were told to be committed, `lost_writes`
    those that an endpoint lacked when it was promoted, or when they were acknowledged later. While
    `is_control_down`, no VM leads the control log or passes on the configuration. Entries of the
    control log are on disk after `sync_delay_s`. An endpoint leads `effect_delay_s` after its call.
    """

    def __init__(self, vm_count: int = 3, seed: int = 1) -> None:
        self.cut_off_endpoints: set[str] = set()
        self.refusing_endpoints: set[str] = set()
        self.late_commands: list[tuple[EndpointCommandKind, float]] = []
        self.acknowledged: dict[str, float] = {}
        self.lost_writes: set[str] = set()
        self.newest_fencing_token = 0
        self.slow_commands: list[tuple[EndpointCommandKind, float]] = []
        self.called: list[tuple[str, int]] = []
        self.is_control_down = False
        self.sync_delay_s = 0.0
        self.effect_delay_s = EFFECT_DELAY_S
        self._stepped_down: set[str] = set()
        self._crashed_primaries: set[str] = set()
        self._open_writes: dict[int, list[str]] = {}
        self._held_replies: list[HeldReply] = []
        super().__init__(vm_count=vm_count, seed=seed)
        for engine in self.vms.values():
            engine.board.changes.subscribe(Topic.STATEMENT_ANSWERED, self._on_answered)

    def join(self, name: str, zone: str = "z1", is_announced: bool = True) -> FakeSessionEndpoint:
        """Add a replica, which receives the primary's log at once."""
        endpoint = FakeSessionEndpoint(name, zone)
        endpoint.call_later = self.call_later
        self.endpoints[name] = endpoint
        self._rejoin(endpoint)
        if is_announced:
            self.announce(endpoint, leaving=False, sequence=1)
        return endpoint

    def crash(self, name: str) -> None:
        """End an endpoint's process; replies that it has not sent are lost."""
        endpoint = self.endpoints[name]
        endpoint.alive = False
        endpoint.sessions.clear()
        if endpoint.is_primary or name in self._stepped_down:
            self._crashed_primaries.add(name)
        held_replies, self._held_replies = self._held_replies, []
        for held in held_replies:
            if held.exchange.endpoint == name:
                self._lose_exchange(held.board, held.request, held.exchange)
            else:
                self._held_replies.append(held)

    def resume(self, name: str) -> None:
        """Let an endpoint receive again, as a `RESUME` does, also one that is carried out late."""
        self.endpoints[name].replication_paused = False
        self._rejoin(self.endpoints[name])

    def catch_up(self, name: str, source: str) -> None:
        """Let a replica that lagged behind receive what another endpoint has, and go on."""
        endpoint, other = self.endpoints[name], self.endpoints[source]
        endpoint.ignores_replication = False
        endpoint.log, endpoint.log_term = list(other.log), other.log_term
        endpoint.applied = len(endpoint.log)

    def deregister(self, name: str, incarnation: int = 0) -> None:
        """Remove an endpoint from the control log; by default its registered incarnation."""
        incarnation = incarnation or self.board.configuration.endpoints[name].incarnation
        fields = {"name": name, "incarnation": incarnation}
        self.propose(Command(CommandKind.ENDPOINT_GONE, fields))

    def stop_control(self) -> None:
        """End the VM that leads the control log; its disk stays."""
        self.is_control_down = True
        self.boards.remove(self.board)

    def start_control(self, applied_revision: int = 0) -> None:
        """Start a VM in its place that has what the log holds, and no memory of anything else.

        With `applied_revision`, it takes the place as a VM that followed until now, and knows only
        the entries up to this one to be committed.
        """
        self.engine = self._new_engine()
        board = self.board = self.engine.board
        self.boards.insert(0, board)
        board.changes.subscribe(
            Topic.INTENT_POSTED, lambda intent: self.execute_intent(board, intent)
        )
        board.members.entry_vm_count = 4
        recovered = self.disk.recover()
        board.post(Topic.LOG_RECOVERED, recovered)
        if applied_revision:
            known = [item for item in recovered.entries if item.index <= applied_revision]
            board.post(Topic.ENTRIES_COMMITTED, known)
            board.post(Topic.FRESHNESS_CHANGED, self.clock.now())
        board.post(Topic.CONTROL_STARTED, self.disk.hard_state)
        self.is_control_down = False

    def restart(self, name: str, incarnation: int, is_announced: bool = True) -> None:
        """Start an endpoint again: a replica with an empty log, a primary with its own.

        A primary that had stepped down leads again if no endpoint was promoted since.
        """
        endpoint = self.endpoints[name]
        endpoint.alive = True
        endpoint.is_primary |= name in self._stepped_down
        keeps_log = endpoint.is_primary or name in self._crashed_primaries
        self._stepped_down.discard(name)
        self._crashed_primaries.discard(name)
        endpoint.sessions.clear()
        endpoint.replication_paused = False
        if not keeps_log:
            endpoint.log, endpoint.applied = [], 0
        self._rejoin(endpoint)
        if is_announced:
            self.announce(endpoint, leaving=False, sequence=1, incarnation=incarnation)

    def promote(self, name: str) -> None:
        """Have an endpoint lead the next term with what it has received."""
        log = set(self.endpoints[name].log)
        self.lost_writes |= {write for write in self.acknowledged if write not in log}
        dead = {
            item.name: (item.log, item.log_term, item.applied) for item in self.endpoints.values()
        }
        super().promote(name)
        self._stepped_down.clear()
        for endpoint in self.endpoints.values():
            endpoint.replication_paused = False
            if not endpoint.alive and endpoint.name != name:
                endpoint.log, endpoint.log_term, endpoint.applied = dead[endpoint.name]
        self._refuse_held_replies()

    def has_primary(self) -> bool:
        """Return whether an endpoint leads."""
        return any(item.is_primary for item in self.endpoints.values())

    def _rejoin(self, endpoint: FakeSessionEndpoint) -> None:
        """Replicate the log of the primary to an endpoint that has started."""
        self._connect_replicas()
        leading = [item for item in self.endpoints.values() if item.is_primary and item.alive]
        receives = not (endpoint.replication_paused or endpoint.ignores_replication)
        if receives and leading and leading[0] is not endpoint:
            endpoint.term = leading[0].term
            endpoint.log, endpoint.log_term = list(leading[0].log), leading[0].log_term
            endpoint.applied = len(endpoint.log)
            self._send_confirmed_replies()

    def _flush_control_batches(self) -> None:
        """Write what the control log has sent to the disk; its end is reported after the delay."""
        if not self.sync_delay_s:
            super()._flush_control_batches()
            return
        board = self.board
        batch = board.outbox.take_control_batch()
        while not batch.is_empty():
            self.disk.write(batch)
            if batch.entries:
                synced = SyncedRecords(batch.entries[-1].index, batch.entries[-1].term)
                self.call_later(
                    lambda synced=synced: self._post_to(board, Topic.RECORDS_SYNCED, synced),
                    self.sync_delay_s,
                )
            batch = board.outbox.take_control_batch()

    def _on_answered(self, call: Any) -> None:
        """Note the writes that a caller was told to be committed."""
        number, verb = call.session.number, call.statement.verb
        is_ok = call.answer is not None and call.answer.refusal is None
        is_write = call.statement.text.startswith("WRITE")
        if is_write and is_ok and call.session.transaction is not None:
            self._open_writes.setdefault(number, []).append(call.statement.statement_id)
        elif is_write and is_ok:
            self._acknowledge([call.statement.statement_id])
        elif verb in (Verb.COMMIT, Verb.ROLLBACK):
            writes = self._open_writes.pop(number, [])
            self._acknowledge(writes if is_ok and verb is Verb.COMMIT else [])

    def _acknowledge(self, writes: list[str]) -> None:
        leading = [item for item in self.endpoints.values() if item.is_primary]
        for write in writes:
            self.acknowledged[write] = self.clock.now()
            if leading and write not in leading[0].log:
                self.lost_writes.add(write)

    def _poll(self) -> None:
        if self.is_control_down:
            self.call_later(self._poll, POLL_INTERVAL_S)
        else:
            super()._poll()

    def _end_exchange(
        self, board: Board, request: SessionRequest, exchange: SessionExchange, reply: SessionReply
    ) -> None:
        """Hold the reply to a commit until a replica has received it."""
        endpoint = self.endpoints[exchange.endpoint]
        is_commit = reply.status is ExchangeStatus.OK and endpoint.is_primary
        if not is_commit or self._is_confirmed(endpoint, reply.position):
            super()._end_exchange(board, request, exchange, reply)
            return
        held = HeldReply(board, request, exchange, reply)
        self._held_replies.append(held)
        remaining_s = exchange.sent_at + exchange.timeout_s - self.clock.now()
        self.call_later(lambda: self._expire(held), max(remaining_s, 0.0))

    def _is_confirmed(self, primary: FakeSessionEndpoint, position: Position) -> bool:
        length = position.index - primary.commits_under_way
        return any(
            len(replica.log) >= length
            for replica in self.endpoints.values()
            if replica is not primary and replica.alive and replica.term == primary.term
        )

    def _send_confirmed_replies(self) -> None:
        held_replies, self._held_replies = self._held_replies, []
        for held in held_replies:
            primary = self.endpoints[held.exchange.endpoint]
            if self._is_confirmed(primary, held.position):
                super()._end_exchange(held.board, held.request, held.exchange, held.reply)
            else:
                self._held_replies.append(held)

    def _refuse_held_replies(self) -> None:
        """Lose the replies of the endpoint that has lost the lead."""
        held_replies, self._held_replies = self._held_replies, []
        for held in held_replies:
            self._lose_exchange(held.board, held.request, held.exchange)

    def _expire(self, held: HeldReply) -> None:
        if held in self._held_replies:
            self._held_replies.remove(held)
            self._lose_exchange(held.board, held.request, held.exchange)

    def _probe(self, board: Board, probe: EndpointProbe) -> None:
        if board is self.board and probe.endpoint in self.cut_off_endpoints:
            self.call_later(lambda: self._post_to(board, Topic.PROBE_ENDED, probe), probe.timeout_s)
        elif probe.endpoint in self.refusing_endpoints and board in self.boards:
            probe.unreachable_reason = UnreachableReason.NOT_LISTENING
            board.post(Topic.PROBE_ENDED, probe)
        elif board in self.boards:
            super()._probe(board, probe)

    def _post_to(self, board: Board, topic: Topic, entry: Any) -> None:
        """Post to a VM, unless it has ended."""
        if board in self.boards:
            board.post(topic, entry)

    def _unreachable_reason(self, name: str) -> UnreachableReason | None:
        return None if name not in self.endpoints else super()._unreachable_reason(name)

    def _execute_command(self, command: EndpointCommand) -> None:
        board = self.board
        if command.kind is EndpointCommandKind.PROMOTE:
            self.called.append((command.endpoint, command.fencing_token))
        for late in self.late_commands:
            if late[0] is command.kind:
                self.late_commands.remove(late)
                self.call_later(lambda: self._carry_out(command), late[1])
                self._end_later(command)
                return
        for slow in self.slow_commands:
            if slow[0] is command.kind:
                self.slow_commands.remove(slow)
                self.call_later(lambda: self._carry_out_and_answer(board, command), slow[1])
                return
        is_call = command.kind is EndpointCommandKind.PROMOTE
        if not is_call and command.endpoint in self.cut_off_endpoints:
            self._end_later(command)
            return
        self._carry_out_and_answer(board, command)

    def _carry_out_and_answer(self, board: Board, command: EndpointCommand) -> None:
        self._carry_out(command)
        self._post_to(board, Topic.ENDPOINT_COMMAND_ENDED, command)

    def _end_later(self, command: EndpointCommand, board: Board | None = None) -> None:
        """End a command without an answer, for the control leader unless a board is given."""
        receiver = board or self.board
        failed = EndpointCommand(
            command.kind,
            command.endpoint,
            command.address,
            command.group,
            command.term,
            "",
            command.timeout_s,
            command.fencing_token,
        )
        self.call_later(
            lambda: self._post_to(receiver, Topic.ENDPOINT_COMMAND_ENDED, failed), command.timeout_s
        )

    def _carry_out(self, command: EndpointCommand) -> None:
        """Carry out a command, and set its result."""
        if command.kind is EndpointCommandKind.PROMOTE:
            self._carry_out_call(command)
            return
        if command.endpoint in self.refusing_endpoints:
            command.unreachable_reason = UnreachableReason.NOT_LISTENING
            return
        endpoint = self.endpoints.get(command.endpoint)
        if endpoint is None or not endpoint.alive:
            command.unreachable_reason = self._unreachable_reason(command.endpoint)
            return
        command.reported_term = endpoint.term
        command.accepted = True
        if command.kind is EndpointCommandKind.PAUSE_REPLICATION:
            command.accepted = command.term > endpoint.term
            endpoint.replication_paused |= command.accepted and not endpoint.is_primary
        elif command.kind is EndpointCommandKind.RESUME_REPLICATION:
            self.resume(command.endpoint)
        else:
            command.accepted = command.term > endpoint.term
            if command.accepted and endpoint.is_primary:
                endpoint.is_primary = False
                self._stepped_down.add(endpoint.name)
        command.position = endpoint.position()

    def _carry_out_call(self, command: EndpointCommand) -> None:
        """Accept a promote call, unless a newer fencing token was seen or the endpoint is down."""
        self.promotions.append((command.endpoint, command.fencing_token))
        endpoint = self.endpoints.get(command.endpoint)
        command.accepted = (
            command.fencing_token >= self.newest_fencing_token
            and endpoint is not None
            and endpoint.alive
        )
        if not command.accepted:
            command.is_refused = True
            return
        self.newest_fencing_token = command.fencing_token
        if not endpoint.is_primary:
            self.call_later(lambda: self._take_lead(command.endpoint), self.effect_delay_s)

    def _take_lead(self, name: str) -> None:
        if self.endpoints[name].alive and not self.endpoints[name].is_primary:
            self.promote(name)
