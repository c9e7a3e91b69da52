"""The board: every section of one VM, and the changes between them."""

from __future__ import annotations

from typing import Any

from ..interfaces.environment import Clock
from ..settings import CoreSettings
from .changes import Changes, Topic
from .configuration import Configuration
from .connections import Connections
from .election import Election
from .endpoints import Endpoints
from .groups import Groups
from .homes import Homes
from .log import ControlLog
from .members import Members
from .observations import Observations
from .outbox import Outbox
from .queues import Queues
from .relays import Relays
from .sessions import Sessions
from .shares import Shares
from .timeline import Timeline
from .transactions import Transactions


class Board:
    """All sections; the settings and the clock are read-only for every controller.

    `leaving` holds from the begin of a planned stop: other VMs are told to hand nothing over any
    more. From `stopping` on, nothing new is taken.
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
        "groups",
        "homes",
        "observations",
        "queues",
        "relays",
        "sessions",
        "shares",
        "transactions",
        "members",
        "outbox",
        "timeline",
        "leaving",
        "stopping",
    )

    def __init__(self, settings: CoreSettings, clock: Clock, timeline: Timeline) -> None:
        self.settings = settings
        self.clock = clock
        self.timeline = timeline
        self.changes = Changes()
        self.configuration = Configuration()
        self.election = Election()
        self.log = ControlLog()
        self.connections = Connections()
        self.endpoints = Endpoints()
        self.groups = Groups()
        self.homes = Homes()
        self.observations = Observations()
        self.queues = Queues()
        self.relays = Relays()
        self.sessions = Sessions()
        self.shares = Shares()
        self.transactions = Transactions()
        self.members = Members()
        self.outbox = Outbox()
        self.leaving = False
        self.stopping = False

    def post(self, topic: Topic, entry: Any = None) -> None:
        """Post an observation and settle the board."""
        self.changes.post(topic, entry)
        self.changes.settle(self.clock.now())

    def settle(self) -> None:
        """Hand out what is due and pending."""
        self.changes.settle(self.clock.now())

    def is_fresh(self) -> bool:
        """Tell whether a quorum confirmed the configuration within the freshness bound."""
        age = self.clock.now() - self.configuration.confirmed_at
        return age <= self.settings.max_configuration_age_s
