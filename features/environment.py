"""Shared fixtures: every scenario starts with worlds and folders of its own."""

from __future__ import annotations

from behave import use_fixture
from fixtures import fleet_world, temporary_folder


def before_scenario(context, scenario):
    context.requests = {}
    context.outcomes = {}
    if "world" in scenario.effective_tags:
        use_fixture(fleet_world, context)
    if "folder" in scenario.effective_tags:
        use_fixture(temporary_folder, context)
