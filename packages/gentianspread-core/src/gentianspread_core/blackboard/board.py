"""The board: all sections of one VM, and the queue of their changes."""

from __future__ import annotations

from typing import Any

from ..interfaces.environment import Clock
from ..settings import CoreSettings
from .changes import ChangeQueue, Topic
from .configuration import Configuration
from .connections import Connections
from .election import Election, Role
from .endpoints import Endpoints
from .evacuations import Evacuations
from .groups import Groups
from .handedon import HandedOn
from .homes import HomeVMs
from .leases import MAX_LEASE_WAIT_S, CommitLeases
from .loads import Loads
from .log import ControlLog
from .members import Members
from .observations import Observations
from .outbox import Outbox
from .outliers import Outliers
from .overload import Overload
from .queues import Queues
from .rate_limits import RateLimits
from .relays import Relays
from .sessions import Sessions
from .shutdown import Shutdown
from .timeline import Timeline
from .transactions import Transactions
from .warmups import Warmups

CONTROL_CONTACT_TIMEOUT_S = 0.8  # confirmations are 0.3 s apart, or 0.6 s after a lost poll


class Board:
    """All sections; the settings and the clock are read-only for every controller.

    `failing_loops` names the loops of this VM whose steps have failed for some time; it is then not
    ready for callers.
    """

    __slots__ = (
        "settings",
        "clock",
        "changes",
        "configuration",
        "election",
        "log",
        "connections",
        "endpoints",
        "evacuations",
        "groups",
        "handed_on",
        "homes",
        "leases",
        "loads",
        "observations",
        "overload",
        "queues",
        "relays",
        "sessions",
        "shutdown",
        "rate_limits",
        "transactions",
        "warmups",
        "members",
        "outbox",
        "outliers",
        "timeline",
        "started_at",
        "failing_loops",
    )

    def __init__(self, settings: CoreSettings, clock: Clock, timeline: Timeline) -> None:
        self.settings = settings
        self.clock = clock
        self.timeline = timeline
        self.changes = ChangeQueue()
        self.configuration = Configuration()
        self.election = Election()
        self.log = ControlLog()
        self.connections = Connections()
        self.endpoints = Endpoints()
        self.evacuations = Evacuations()
        self.groups = Groups()
        self.handed_on = HandedOn()
        self.homes = HomeVMs()
        passes_on = settings.has_disk or settings.registers_diskless_members
        unknown_s = MAX_LEASE_WAIT_S if passes_on else 0.0
        self.leases = CommitLeases(clock.now() + unknown_s)
        self.loads = Loads()
        self.observations = Observations()
        self.overload = Overload()
        self.queues = Queues()
        self.relays = Relays()
        self.sessions = Sessions()
        self.shutdown = Shutdown()
        self.rate_limits = RateLimits()
        self.transactions = Transactions()
        self.warmups = Warmups()
        self.members = Members()
        self.outbox = Outbox()
        self.outliers = Outliers()
        self.started_at = clock.now()
        self.failing_loops: set[str] = set()

    def post(self, topic: Topic, entry: Any = None) -> None:
        """Post a change, and process it and the changes that follow from it."""
        self.changes.post(topic, entry)
        self.changes.run_pending(self.clock.now())

    def run_pending(self) -> None:
        """Process the due timers and the pending changes."""
        self.changes.run_pending(self.clock.now())

    def is_fresh(self) -> bool:
        """Return whether a quorum confirmed the configuration within the freshness bound."""
        age = self.clock.now() - self.configuration.confirmed_at
        return age <= self.settings.max_configuration_age_s

    def leads_with_quorum(self) -> bool:
        """Return whether this VM leads the control log and has applied earlier leaders' grants.

        A quorum confirms a leader only once an entry of its own term is committed. A configuration
        may be fresh by what the leader before confirmed.
        """
        age = self.clock.now() - self.log.confirmed_at
        return self.election.role is Role.LEADER and age <= self.settings.max_configuration_age_s

    def explain_staleness(self) -> str:
        """Return why no quorum confirms the configuration, as far as this VM can tell."""
        if not (self.log.voters or self.configuration.voters):
            return "This VM knows no voters of the control log, and no other VM has named them."
        return "No quorum confirmed the configuration."

    def has_control_contact(self) -> bool:
        """Return whether a recent poll brought a confirmation of the configuration."""
        age = self.clock.now() - self.configuration.confirmed_at
        return age <= CONTROL_CONTACT_TIMEOUT_S

    def startup_deadline(self) -> float:
        """Return until when this VM expects its first fresh configuration, in seconds."""
        return self.started_at + self.settings.startup_timeout_s
