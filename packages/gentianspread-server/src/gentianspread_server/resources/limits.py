"""The limits of one process, derived from its memory and its descriptors."""

from __future__ import annotations

import resource

DEFAULT_MEMORY_BYTES = 1024 * 1024 * 1024  # where the settings do not limit it
DEFAULT_DESCRIPTORS = 4096  # where the settings do not limit them; twice what a small VM has
OUTSIDE_FILES = 200  # descriptors for files outside the data folder
MIN_DESCRIPTORS = 64  # for peers, however few the settings leave

# Shares of the descriptors. What accepted connections leave is for endpoints, other VMs that this
# one calls, files of the data folder and the platform's service.
ACCEPTED_SHARE = 0.85  # all accepted connections; on the smallest VM 1,164, as many as ever
ENTRY_PEER_SHARE = 0.1  # on an entry VM: VMs that have sent nothing signed yet
ENTRY_TRUSTED_SHARE = 0.3  # on an entry VM: VMs that relay statements
CONTROL_SHARE = 0.45  # on a control VM: endpoints, operators, VMs that have sent nothing signed yet
CONTROL_TRUSTED_SHARE = 0.35  # on a control VM: VMs that poll it
PROBE_SHARE = 0.02  # readiness and metrics, each; they need one or two
MIN_PROBE_CONNECTIONS = 8

# Shares of the memory. What is left is for the process itself, its configuration and its endpoints.
BUDGET_SHARE = 0.25  # for the contents of messages and answers
CALLER_MEMORY_SHARE = 0.4  # for the callers' connections
HTTP_MEMORY_SHARE = 0.25  # for connections of HTTP ports that are not trusted
MIN_BUDGET_BYTES = 8 * 1024 * 1024  # one statement of legal size with its copies, and some more

RECEIVE_BUFFER_BYTES = 8 * 1024  # of a caller's socket; the kernel takes twice as much
HTTP_RECEIVE_BUFFER_BYTES = 32 * 1024  # of an HTTP socket; most messages fit in one window
UNSENT_BYTES = 16 * 1024  # that the kernel keeps for a reader that does not read
# Measured (docs/CAPACITY.md): a caller's greenlet, session and sockets take 23 KB; the kernel's
# buffers come on top.
CALLER_BYTES = 24 * 1024 + 2 * RECEIVE_BUFFER_BYTES + UNSENT_BYTES
HTTP_BYTES = 16 * 1024 + 2 * HTTP_RECEIVE_BUFFER_BYTES + UNSENT_BYTES


class ResourceLimits:
    """The limits of one process: bytes of content, and connections by port and kind."""

    __slots__ = (
        "memory_bytes",
        "descriptors",
        "budget_bytes",
        "max_accepted",
        "max_callers",
        "max_entry_peers",
        "max_entry_trusted",
        "max_control",
        "max_control_trusted",
        "max_probes",
    )

    def __init__(self, memory_bytes: int, max_descriptors: int) -> None:
        self.memory_bytes = memory_bytes
        self.descriptors = max(MIN_DESCRIPTORS, max_descriptors - OUTSIDE_FILES)
        self.budget_bytes = max(MIN_BUDGET_BYTES, int(memory_bytes * BUDGET_SHARE))
        callers = int(memory_bytes * CALLER_MEMORY_SHARE) // CALLER_BYTES
        others = int(memory_bytes * HTTP_MEMORY_SHARE) // HTTP_BYTES
        self.max_accepted = self._share(ACCEPTED_SHARE)
        self.max_callers = min(self.max_accepted, callers)
        self.max_entry_peers = min(self._share(ENTRY_PEER_SHARE), others)
        self.max_entry_trusted = self._share(ENTRY_TRUSTED_SHARE)
        self.max_control = min(self._share(CONTROL_SHARE), others)
        self.max_control_trusted = self._share(CONTROL_TRUSTED_SHARE)
        self.max_probes = max(MIN_PROBE_CONNECTIONS, self._share(PROBE_SHARE))

    @classmethod
    def from_settings(cls, memory_bytes: int, max_descriptors: int) -> ResourceLimits:
        """Build from settings, in which 0 stands for no limit.

        The limit of descriptors that the process was started with applies in any case.
        """
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if allowed == resource.RLIM_INFINITY:
            allowed = DEFAULT_DESCRIPTORS
        descriptors = min(max_descriptors or DEFAULT_DESCRIPTORS, allowed)
        return cls(memory_bytes or DEFAULT_MEMORY_BYTES, descriptors)

    def _share(self, fraction: float) -> int:
        return int(self.descriptors * fraction)
