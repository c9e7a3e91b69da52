"""Exceptions with an error code and a remedy."""

from __future__ import annotations

from enum import Enum


class ExecutionResult(Enum):
    """Whether a request was executed, as far as is known."""

    NOT_RUN = "not run"
    RUN = "run"
    UNKNOWN = "unknown"


class ErrorCode(Enum):
    """Error codes in answers to callers and operators."""

    BAD_REQUEST = "bad_request"
    BAD_TOKEN = "bad_token"
    KEY_REFUSED = "key_refused"
    KEY_MOVED = "key_moved"
    CONFIGURATION_NOT_FRESH = "configuration_not_fresh"
    MAINTENANCE = "maintenance"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    DEADLINE_PASSED = "deadline_passed"
    NO_ENDPOINT = "no_endpoint"
    TERM_CHANGED = "term_changed"
    DATA_TOO_OLD = "data_too_old"
    STATEMENT_FAILED = "statement_failed"
    TRANSACTION_UNKNOWN = "transaction_unknown"
    OUTCOME_UNKNOWN = "outcome_unknown"
    DRAINING = "draining"
    REVISION_CONFLICT = "revision_conflict"
    NO_LEADER = "no_leader"
    INVALID_CHANGE = "invalid_change"
    INVALID_SETTINGS = "invalid_settings"
    STORAGE_FAILED = "storage_failed"
    NO_DATABASE = "no_database"
    NO_STATEMENT = "no_statement"
    REPLICA_LAGGING = "replica_lagging"
    CONNECTION_LIMIT = "connection_limit"
    INVALID_DECLARATION = "invalid_declaration"
    UNREADABLE_ENTRY = "unreadable_entry"
    ZONE_EVACUATED = "zone_evacuated"


REMEDIES = {
    ErrorCode.BAD_REQUEST: "Correct the request as the message says and send it again.",
    ErrorCode.BAD_TOKEN: "Drop the session token and start a new session.",
    ErrorCode.KEY_REFUSED: "Ask the operator for a valid key of this workspace.",
    ErrorCode.KEY_MOVED: "Send the request again; the key belongs to another workspace now.",
    ErrorCode.CONFIGURATION_NOT_FRESH: "Send the request to another VM, or again in a few seconds.",
    ErrorCode.MAINTENANCE: "Wait until the operator leaves the maintenance preset.",
    ErrorCode.RATE_LIMITED: "Send more slowly, or ask the operator for a higher rate.",
    ErrorCode.OVERLOADED: "Send the request again after a short pause.",
    ErrorCode.DEADLINE_PASSED: "Send the request again with a longer deadline.",
    ErrorCode.NO_ENDPOINT: "Send the request again in a few seconds.",
    ErrorCode.TERM_CHANGED: "Send the request again; the group has a new primary.",
    ErrorCode.DATA_TOO_OLD: "Accept a larger age, or read without an accepted age.",
    ErrorCode.STATEMENT_FAILED: "Correct the statement.",
    ErrorCode.TRANSACTION_UNKNOWN: "Begin the transaction again.",
    ErrorCode.OUTCOME_UNKNOWN: "Send the request again with the same request id.",
    ErrorCode.DRAINING: "Send the request to another VM.",
    ErrorCode.REVISION_CONFLICT: "Read the current revision and decide again.",
    ErrorCode.NO_LEADER: "Send the change again with the same change id in a few seconds.",
    ErrorCode.INVALID_CHANGE: "Correct the change as the message says.",
    ErrorCode.INVALID_SETTINGS: "Correct the named flags and start again.",
    ErrorCode.NO_DATABASE: "Open one of the databases that the operators declared.",
    ErrorCode.NO_STATEMENT: "Prepare the statement before executing it.",
    ErrorCode.REPLICA_LAGGING: "Send the request again; the replicas are catching up.",
    ErrorCode.CONNECTION_LIMIT: "Send the request again after a short pause.",
    ErrorCode.INVALID_DECLARATION: "Correct the declaration as the message says.",
    ErrorCode.UNREADABLE_ENTRY: "Correct the sender of the entry; it was ignored.",
    ErrorCode.ZONE_EVACUATED: "Send the request again; finish the evacuation of a zone.",
    ErrorCode.STORAGE_FAILED: "Check the disk of the data folder and restart the VM.",
}


class GentianspreadError(Exception):
    """Base class of all errors.

    `result` says whether the request was executed, `remedy` what the caller can do about the error.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        result: ExecutionResult = ExecutionResult.NOT_RUN,
        remedy: str = "",
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.result = result
        self.remedy = remedy or REMEDIES[code]


class Refusal(GentianspreadError):
    """A request that was rejected or failed, or whose outcome is unknown."""


class ChangeRejected(GentianspreadError):
    """A change of the configuration that the state machine rejected."""


class SettingsError(GentianspreadError):
    """Settings that failed validation; the message lists every fault."""


class StorageError(GentianspreadError):
    """A data folder that is missing or damaged, or a failed write to it."""


class DeclarationError(GentianspreadError):
    """A declared configuration that failed validation."""
