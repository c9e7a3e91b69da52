"""Whether a simulated fleet can lose another disk without losing what was committed."""

from __future__ import annotations

from .fakes import FakeVM, Simulation


def is_redundant(simulation: Simulation) -> bool:
    """Return whether three voters with their present disks have the whole control log."""
    leader = simulation.leader()
    if leader is None:
        return False
    log = leader.board.log
    voters = [simulation.vms[name] for name in log.voters]
    is_newest = all(vm.board.log.commit_index <= log.commit_index for vm in simulation.vms.values())
    return (
        is_newest
        and len(voters) == 3
        and not log.learners
        and log.commit_index == log.last_index()
        and all(_has_whole_log(vm, leader) for vm in voters)
    )


def _has_whole_log(vm: FakeVM, leader: FakeVM) -> bool:
    if vm.disk is None or vm.disk.is_blank():
        return False
    recovered = vm.disk.recover()
    entries, log = recovered.entries, leader.board.log
    last = (entries[-1].index, entries[-1].term) if entries else None
    last = last or (recovered.snapshot.index, recovered.snapshot.term)
    is_complete = last == (log.last_index(), log.last_term())
    return is_complete and recovered.incarnation == log.incarnation_of(vm.name)
