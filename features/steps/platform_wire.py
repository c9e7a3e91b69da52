"""Steps about the platform's messages and documents."""

from __future__ import annotations

import copy
import json

from behave import then, when
from gentianspread_core.blackboard.prepared import PreparedStatement
from gentianspread_core.blackboard.steps import Step, StepKind
from gentianspread_core.errors import DeclarationError, ErrorCode, ExecutionResult, Refusal
from gentianspread_core.positions import Position
from gentianspread_server.platform import wire
from gentianspread_server.platform.documents import decode_announcement, decode_declaration

PIECE_BYTES = 5
DOCUMENT = {
    "version": 7,
    "routes": [
        {"name": "r1", "host": "a", "routeType": "primary", "timeoutMs": 800, "service": "s"},
        {
            "name": "r2",
            "host": "b",
            "routeType": "read_own",
            "timeoutMs": 800,
            "service": "s",
            "maxStalenessMs": 2500,
        },
    ],
    "services": [{"name": "s", "maxConns": 46, "syncReplicas": 1}],
    "limits": {"txIdleMs": 3000},
    "tenants": [
        {"name": "w1", "apiKeys": ["key-one"], "ratePerS": 60, "burstSize": 60},
        {"name": "w2", "apiKeys": ["key-two"], "ratePerS": 60, "burstSize": 60},
    ],
}


class PieceSocket:
    """A socket that returns short content in small pieces."""

    def __init__(self, content):
        self.content = content

    def setsockopt(self, *_arguments):
        pass

    def recv(self, max_bytes):
        piece = (
            self.content[: min(PIECE_BYTES, max_bytes)]
            if len(self.content) < 100
            else self.content[:max_bytes]
        )
        self.content = self.content[len(piece) :]
        return piece


def _unescape(text):
    return text.replace("\\r", "\r").replace("\\n", "\n")


@when('the text "{text:Quoted}" is decoded')
def step_decode(context, text):
    context.statement = wire.decode_statement("id1", text)


@when('the text "{text:Quoted}" is decoded with the id "{statement_id}"')
def step_decode_with_id(context, text, statement_id):
    context.statement = wire.decode_statement(statement_id, text)


@then('its verb is "{verb:Quoted}"')
def step_verb(context, verb):
    assert context.statement.verb.value == verb, context.statement.verb


def _read_all(content):
    lines = wire.LineSocket(PieceSocket(content))
    read = []
    while True:
        try:
            line = lines.read_line()
        except wire.ProtocolError:
            return [*read, "error"]
        if line is None:
            return read
        read.append(line)


@when('the bytes "{text:Quoted}" arrive')
def step_bytes(context, text):
    context.lines = _read_all(_unescape(text).encode())


@when("more than the maximum message length arrives without a line end")
def step_too_long(context):
    context.lines = _read_all(b"x" * (wire.MAX_MESSAGE_BYTES + 2 * wire.RECEIVE_BUFFER_BYTES))


@then('the lines read are "{lines:Quoted}"')
def step_lines(context, lines):
    assert context.lines == lines.split(","), context.lines


@when(
    'a read of "{text:Quoted}" with the id "{statement_id:w}" is encoded'
    " for a log position {term:d}.{index:d}"
)
def step_encode(context, text, statement_id, term, index):
    step = Step(StepKind.STATEMENT, statement_id, text, position=Position(term, index))
    context.message = wire.encode_step(step).decode()


@then('the message is "{text:Quoted}"')
def step_message(context, text):
    assert context.message == _unescape(text), context.message


@when('a refusal "{code:w}" with the result "{result:Quoted}" is encoded')
def step_refusal(context, code, result):
    refusal = Refusal(ErrorCode(code), "Why it was refused.", ExecutionResult(result))
    context.message = wire.encode_refusal(refusal).decode()


@then('the message starts with "{text:Quoted}"')
def step_starts(context, text):
    assert context.message.startswith(text), context.message
    assert context.message.endswith("\r\n") and context.message.count("\r\n") == 1


def _cut_short(_document):
    return json.dumps(DOCUMENT)[:-20]


def _unknown_group(document):
    document["routes"][0]["service"] = "other"


def _two_routes(document):
    document["routes"][1]["host"] = "a"


def _no_timeout(document):
    document["routes"][0]["timeoutMs"] = 0


def _shared_key(document):
    document["tenants"][1]["apiKeys"] = ["key-one"]


def _no_version(document):
    del document["version"]


def _a_list(_document):
    return "[]"


FAULTS = {
    "cut short": _cut_short,
    "unknown group": _unknown_group,
    "two routes alike": _two_routes,
    "no time limit": _no_timeout,
    "a shared key": _shared_key,
    "no version": _no_version,
    "a list": _a_list,
    "nothing wrong": lambda document: None,
}


RAW_VALUES = {
    "800 nested lists": "[" * 800 + "]" * 800,
    "a text of 100000 letters": json.dumps("a" * 100_000),
}


@when("a configuration document with {value} as {field:w} of its {item:w} is decoded")
def step_odd_document(context, value, field, item):
    document = copy.deepcopy(DOCUMENT)
    owners = {
        "document": document,
        "tenant": document["tenants"][0],
        "route": document["routes"][0],
        "service": document["services"][0],
    }
    owners[item][field] = "THE VALUE"
    text = json.dumps(document).replace('"THE VALUE"', RAW_VALUES.get(value, value))
    context.error = None
    try:
        decode_declaration(text.encode())
    except DeclarationError as error:
        context.error = error


@then("the refusal is shorter than {count:d} characters")
def step_short_refusal(context, count):
    assert len(context.error.message) < count, context.error.message[:count]


@when('a configuration document with "{fault:Quoted}" is decoded')
def step_document(context, fault):
    document = copy.deepcopy(DOCUMENT)
    text = FAULTS[fault](document) or json.dumps(document)
    context.declaration, context.error = None, None
    try:
        context.declaration = decode_declaration(text.encode())
    except DeclarationError as error:
        context.error = error


@then("it is refused")
def step_document_refused(context):
    assert context.error is not None and context.error.code is ErrorCode.INVALID_DECLARATION


@then("it holds version {version:d}, {routes:d} routes, {groups:d} group and {count:d} workspaces")
def step_holds(context, version, routes, groups, count):
    declaration = context.declaration
    assert declaration.version == version and len(declaration.routes) == routes
    assert len(declaration.groups) == groups and len(declaration.workspaces) == count


@then("it holds no key in plain text outside the document itself")
def step_no_keys(context):
    record = context.declaration.to_record()
    del record["document"]
    assert "key-one" not in json.dumps(record)


@when('the announcement "{body}" of "{name:w}" is decoded')
def step_announcement(context, body, name):
    context.announcement = decode_announcement(name, body.encode())


@then("it describes no endpoint")
def step_no_endpoint(context):
    assert context.announcement is None


@when('the bytes "{line}" of a statement are decoded')
def step_statement_bytes(context, line):
    context.line = line.encode().decode("unicode_escape").encode("latin-1")
    statement_id, _, text = wire._decode_line(context.line).partition(" ")
    context.statement = wire.decode_statement(statement_id, text)


@then('its verb is "{verb}" and its bytes are unchanged')
def step_verb(context, verb):
    assert context.statement.verb.value == verb, context.statement.verb
    step = Step(StepKind.STATEMENT, context.statement.statement_id, context.statement.text)
    assert wire.encode_step(step) == b"QUERY " + context.line + b"\r\n"


@when('a read of the shape "{shape}" is prepared and executed with the item "{item}"')
def step_prepare_shape(context, shape, item):
    context.shape = shape.encode().decode("unicode_escape")
    context.shape = context.shape.encode("latin-1").decode("utf-8", "surrogateescape")
    context.item = item
    name = PreparedStatement(False, context.shape).shared_name()
    prepare = Step(StepKind.PREPARE, name=name, value=context.shape)
    execute = Step(StepKind.STATEMENT, "id-1", "EXECUTE s1 i7", name=name, value=item)
    context.sent = [_statement_of(wire.encode_step(step)) for step in (prepare, execute)]


def _statement_of(message):
    line = wire._decode_line(message.removesuffix(b"\r\n")).removeprefix("QUERY ")
    _, _, text = line.partition(" ")
    return wire.decode_statement("id", text)


@then('the endpoint prepares and executes the same name, with the shape and "{item}" unchanged')
def step_same_name(context, item):
    prepared, executed = context.sent
    assert prepared.name == executed.name and prepared.value == context.shape, context.sent
    assert executed.arguments == item


@then("{count:d} shapes have {names:d} names of at most {length:d} characters")
def step_different_names(context, count, names, length):
    shapes = [f"{'x ' * (number % 7)}q{number}" for number in range(count - 2)]
    shapes += ["-" + PreparedStatement(False, "a b").shared_name()[2:], "a b"]
    found = {PreparedStatement(False, shape).shared_name() for shape in shapes}
    assert len(found) == names and max(len(name) for name in found) <= length
