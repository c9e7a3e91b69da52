"""Steps about declared configurations."""

from __future__ import annotations

from behave import then, when
from gentianspread_core.blackboard.commands import Command, CommandKind
from gentianspread_core.blackboard.configuration import (
    Configuration,
    load_snapshot,
    to_snapshot,
)
from gentianspread_core.blackboard.declarations import (
    Consistency,
    Declaration,
    DeclaredGroup,
    DeclaredWorkspace,
    Route,
)
from gentianspread_lab.fakes.session_simulation import GROUP


@when('version {version:d} with the key "{key:w}" is declared')
def step_declare(context, version, key):
    routes = [Route("own", "own", GROUP, Consistency.OWN_WRITES, 2.5, 1.0, 0.5, 1, False)]
    workspaces = [DeclaredWorkspace("w1", 100.0, 100.0, [key])]
    document = f"document {version} {key}"
    declaration = Declaration(
        version, routes, [DeclaredGroup(GROUP, 46, True)], workspaces, 3.0, document
    )
    command = Command(CommandKind.DECLARE, declaration.to_record(), document)
    context.outcomes.setdefault("declared", []).append(context.session_simulation.propose(command))
    context.session_simulation.run(0.2)


@then("both declarations were accepted")
def step_accepted(context):
    outcomes = [items[0] for items in context.outcomes["declared"]]
    assert len(outcomes) == 2 and all(item.accepted for item in outcomes)


@then("version {version:d} is the current one, with its document")
def step_current_version(context, version):
    declaration = context.session_simulation.board.configuration.declaration
    assert declaration.version == version
    assert declaration.document.startswith(f"document {version} ")


@then('the key "{key:w}" opens no session')
def step_no_session(context, key):
    refusal = context.session_simulation.open_session("own", key).refusal
    assert refusal is not None and refusal.code.value == "key_refused"


@then('the key "{key:w}" opens a session')
def step_session(context, key):
    assert context.session_simulation.open_session("own", key).refusal is None


@then("a configuration loaded from a snapshot has version {version:d} with its document and key")
def step_loaded(context, version):
    loaded = Configuration()
    load_snapshot(loaded, to_snapshot(context.session_simulation.board.configuration))
    assert loaded.declaration.version == version
    assert loaded.declaration.document == f"document {version} five"
    assert list(loaded.keys) == ["five"]
