"""Behave hooks: each scenario gets new instances of the fixtures that its tags name."""

from __future__ import annotations

import json

from behave import register_type, use_fixture
from fixtures import (
    caller_server,
    cold_simulation,
    fleet_simulation,
    home_simulation,
    limited_fleet,
    platform_fleet,
    priority_simulation,
    promotion_simulation,
    session_simulation,
    soak_board,
    temporary_folder,
)
from parse import with_pattern


@with_pattern(r'[^"]*')
def parse_quoted(text):
    return text


@with_pattern(r"\S+")
def parse_json(text):
    return json.loads(text)


register_type(Quoted=parse_quoted, Json=parse_json)


def before_scenario(context, scenario):
    context.requests = {}
    context.outcomes = {}
    context.lost_disks = {}
    if "simulation" in scenario.effective_tags:
        use_fixture(fleet_simulation, context)
    if "homes" in scenario.effective_tags:
        use_fixture(home_simulation, context)
    if "priorities" in scenario.effective_tags:
        use_fixture(priority_simulation, context)
    if "cold" in scenario.effective_tags:
        use_fixture(cold_simulation, context)
    if "promotions" in scenario.effective_tags:
        use_fixture(promotion_simulation, context)
    if "sessions" in scenario.effective_tags:
        use_fixture(session_simulation, context)
    if "folder" in scenario.effective_tags:
        use_fixture(temporary_folder, context)
    if "fleet" in scenario.effective_tags:
        use_fixture(platform_fleet, context, "control_links" in scenario.effective_tags)
    if "limited_fleet" in scenario.effective_tags:
        use_fixture(limited_fleet, context)
    if "caller_server" in scenario.effective_tags:
        use_fixture(caller_server, context)
    if "soak_board" in scenario.effective_tags:
        use_fixture(soak_board, context)
