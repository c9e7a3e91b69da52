"""Steps about odd and damaged messages."""

from __future__ import annotations

import json

from behave import then, when
from gentianspread_core.blackboard import Board, Topic
from gentianspread_core.blackboard.messages import Message, MessageKind
from gentianspread_core.blackboard.timeline import Timeline
from gentianspread_core.settings import CoreSettings
from gentianspread_lab.platform.wirefuzz import run_target
from gentianspread_server.clocks import BootTimeClock, wall_ms
from gentianspread_server.peerroutes import PeerRoutes


@when("{count:d} odd messages in place of {target} are decoded with seed {seed:d}")
def step_fuzz(context, count, target, seed):
    run_target(target, seed, count)


@when("another VM sends control messages with the terms {first} and {last}")
def step_odd_terms(context, first, last):
    context.board = Board(CoreSettings("c2", "z1", "c2"), BootTimeClock(), Timeline("c2", wall_ms))
    context.received = []
    context.board.changes.subscribe(Topic.MESSAGE_RECEIVED, context.received.append)
    terms = [json.loads(text) for text in [*first.split(", "), last]]
    record = Message(MessageKind.VOTE, "c1", "c2", 1).to_record()
    body = {"stamp": [1, 0], "messages": [{**record, "term": term} for term in terms]}
    PeerRoutes(context.board, None, None).receive_messages(json.dumps(body).encode())


@then("only the message with term {term:d} is received, and {count:d} errors are counted")
def step_one_received(context, term, count):
    assert [message.term for message in context.received] == [term]
    assert context.board.timeline.errors == {"control message": count}
