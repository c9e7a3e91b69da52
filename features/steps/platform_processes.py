"""Steps that run control and entry VMs as processes."""

from __future__ import annotations

import subprocess
import sys

from behave import then, when

RUN_TIMEOUT_S = 240
SOAK_ENTRY_VMS = "6"


def _run(context, *arguments):
    context.process = subprocess.run(
        [sys.executable, "-m", *arguments],
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
    )


@when("the demo of the platform's programs runs with phases of {seconds:g} s")
def step_demo(context, seconds):
    _run(context, "gentianspread_lab.platform.demo", "--seconds", str(seconds))


def _soak(context, seed, seconds, *options):
    arguments = ("--seed", str(seed), "--seconds", str(seconds), "--entries", SOAK_ENTRY_VMS)
    _run(context, "gentianspread_lab.platform.soak", *arguments, *options)


@when("the soak of the platform's programs runs with seed {seed:d} for {seconds:g} s")
def step_soak(context, seed, seconds):
    _soak(context, seed, seconds)


@when(
    "the soak of the platform's programs runs with seed {seed:d} for {seconds:g} s "
    "around promotions"
)
def step_soak_promotions(context, seed, seconds):
    _soak(context, seed, seconds, "--promotions")


@when("the first start is interrupted {first} s and {second} s after the first acknowledged change")
def step_first_start(context, first, second):
    _run(context, "gentianspread_lab.platform.firststarts", "--delays", first, second)


@when("the primary's zone is evacuated and all control VMs are killed at the acknowledgement")
def step_evacuation(context):
    _run(context, "gentianspread_lab.platform.evacuationtrial")


@when("the primary's zone is evacuated and {share} of the last statements have to be served")
def step_evacuation_served(context, share):
    _run(context, "gentianspread_lab.platform.evacuationtrial", "--min-served-share", share)


@then("every guarantee held")
def step_held(context):
    assert context.process.returncode == 0, context.process.stdout + context.process.stderr
