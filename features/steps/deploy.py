"""Steps about the build script of the deploy file."""

from __future__ import annotations

import os
import shutil
import subprocess

from behave import given, then, when

SCRIPT = os.path.join("deploy", "build.sh")
DEPS = os.path.join("target", "deps")
PLATFORM = "linux-aarch64 3.11.6"
PACKAGES = ("core", "server")
INTERPRETER = """#!/bin/sh
case "$1 $2" in
    "-m pip")
        echo "$@" >>"$CALLS"
        touch "target/deps/library-$(wc -l <"$CALLS" | tr -d ' ')"
        ;;
    "-m compileall") ;;
    *) echo "$PLATFORM" ;;
esac
"""


def write(path, text):
    os.makedirs(os.path.dirname(path), exist_ok=True)
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)


def read(path):
    with open(path, encoding="utf-8") as file:
        return file.read()


def source(context, package):
    name = f"gentianspread_{package}"
    return os.path.join(context.folder, "packages", f"gentianspread-{package}", "src", name)


def built(context, package):
    return os.path.join(context.folder, DEPS, f"gentianspread_{package}")


def contents(folder):
    return {name: read(os.path.join(folder, name)) for name in sorted(os.listdir(folder))}


@given("a checkout with the build script, whose installer only records its calls")
def step_checkout(context):
    for path in (SCRIPT, os.path.join("deploy", "requirements.txt"), "constraints.txt"):
        target = os.path.join(context.folder, path)
        os.makedirs(os.path.dirname(target), exist_ok=True)
        shutil.copy(path, target)
    for package in PACKAGES:
        write(os.path.join(source(context, package), "__init__.py"), f"NAME = '{package}'\n")
        write(os.path.join(source(context, package), "other.py"), "VALUE = 1\n")
    interpreter = os.path.join(context.folder, "bin", "python3")
    write(interpreter, INTERPRETER)
    os.chmod(interpreter, 0o755)
    context.platform = PLATFORM
    context.calls = os.path.join(context.folder, "calls")
    write(context.calls, "")


@when("it is built")
def step_build(context):
    path = os.path.join(context.folder, "bin") + os.pathsep + os.environ["PATH"]
    environment = {"PATH": path, "CALLS": context.calls, "PLATFORM": context.platform}
    subprocess.run(["sh", SCRIPT], cwd=context.folder, env=environment, check=True)
    modified = [
        os.stat(os.path.join(built(context, package), "other.py")).st_mtime_ns
        for package in PACKAGES
        if os.path.exists(os.path.join(built(context, package), "other.py"))
    ]
    context.modified = [*getattr(context, "modified", []), modified]


@when("the machine is one with another processor")
def step_processor(context):
    context.platform = PLATFORM.replace("aarch64", "x86_64")


@when("the interpreter is of another version")
def step_interpreter(context):
    context.platform = PLATFORM.replace("3.11", "3.12")


@when("another version of a library is pinned")
def step_pinned(context):
    with open(os.path.join(context.folder, "constraints.txt"), "a", encoding="utf-8") as file:
        file.write("another==1.0\n")


@when("a module is edited")
def step_edited(context):
    write(os.path.join(source(context, "core"), "other.py"), "VALUE = 2\n")


@when("a module is removed")
def step_removed(context):
    os.remove(os.path.join(source(context, "server"), "other.py"))


@when("the build of another commit ends while it copies")
def step_interrupted(context):
    """Replace cp by a command that copies one module and fails, for one build."""
    other = os.path.join(source(context, "core"), "other.py")
    before = read(other)
    write(other, "VALUE = 3\n")
    copier = os.path.join(context.folder, "bin", "cp")
    write(copier, '#!/bin/sh\nmkdir -p "$3gentianspread_core"\nexit 1\n')
    os.chmod(copier, 0o755)
    path = os.path.join(context.folder, "bin") + os.pathsep + os.environ["PATH"]
    environment = {"PATH": path, "CALLS": context.calls, "PLATFORM": context.platform}
    done = subprocess.run(["sh", SCRIPT], cwd=context.folder, env=environment, check=False)
    assert done.returncode != 0
    os.remove(copier)
    write(other, before)


@then("the libraries were installed {count:d} time")
@then("the libraries were installed {count:d} times")
def step_installed(context, count):
    calls = read(context.calls).splitlines()
    assert len(calls) == count, calls


@then("nothing of the first installation is left")
def step_replaced(context):
    names = os.listdir(os.path.join(context.folder, DEPS))
    assert "library-1" not in names and "library-2" in names, names


@then("the built packages are those of the checkout")
def step_same_packages(context):
    for package in PACKAGES:
        assert contents(built(context, package)) == contents(source(context, package)), package


@then("the files of the packages were written once")
def step_written_once(context):
    assert context.modified[0] == context.modified[1], context.modified
