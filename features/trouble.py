"""Random faults of a simulated fleet whose group has terms of the control log."""

from __future__ import annotations

from gentianspread_core.blackboard.outbox import EndpointCommandKind
from gentianspread_lab.fakes.endpoint import FakeEndpoint
from support import send

TROUBLE_S = 40.0
MAX_ENDPOINTS = 7


class RandomTrouble:
    """Writes through all VMs beside random faults of links, commands, endpoints and VMs."""

    def __init__(self, context, randomness):
        self.context = context
        self.simulation = context.simulation
        self.randomness = randomness

    def run(self):
        """Run for `TROUBLE_S`; a step has one fault or its end, and one write."""
        end = self.simulation.clock.now() + TROUBLE_S
        faults = (self.cut, self.split, self.heal, self.delay, self.crash, self.kill, self.join)
        while self.simulation.clock.now() < end:
            self.randomness.choice(faults)()
            self.write()
            self.simulation.run(self.randomness.choice((0.05, 0.2, 0.6, 1.5)))

    def cut(self):
        """Cut the link between two processes."""
        names = [*self.simulation.vms, *self.simulation.endpoints]
        self.simulation.block_link(*self.randomness.sample(names, 2))

    def split(self):
        """Cut some endpoints and VMs without a disk off from all other processes."""
        entry_vms = [name for name in self.simulation.vms if name.startswith("o")]
        candidates = [*entry_vms, *self.simulation.endpoints]
        side = self.randomness.sample(candidates, self.randomness.randint(1, 4))
        for name in side:
            for other in [*self.simulation.vms, *self.simulation.endpoints]:
                if other not in side:
                    self.simulation.block_link(name, other)

    def heal(self):
        """Mend all links."""
        self.simulation.heal()

    def delay(self):
        """Have commands of one kind executed late, or all of them in time."""
        kind = self.randomness.choice(("fence", "promote", "follow", None))
        self.simulation.late_command_kinds = {EndpointCommandKind(kind)} if kind else set()
        self.simulation.command_delay_s = self.randomness.uniform(0.2, 4.0)

    def crash(self):
        """Start an endpoint again with its log and term."""
        self.simulation.endpoints[self.randomness.choice([*self.simulation.endpoints])].crash()

    def kill(self):
        """Kill the control leader, or start all killed VMs."""
        killed = [vm for vm in self.simulation.vms.values() if not vm.alive]
        leader = self.simulation.leader()
        if killed or leader is None:
            for vm in killed:
                vm.start()
        else:
            leader.kill()

    def join(self):
        """Register two more endpoints, up to `MAX_ENDPOINTS`, on the control VMs' side."""
        for _ in range(2):
            number = len(self.simulation.endpoints) + 1
            if number <= MAX_ENDPOINTS:
                name = f"e{number}"
                self.simulation.endpoints[name] = FakeEndpoint(name, self.simulation.clock)
                self.simulation.register_endpoint(name, leaving=False)

    def write(self):
        """Send a write to a VM that runs."""
        vms = [vm.name for vm in self.simulation.vms.values() if vm.alive]
        name = f"w{len(self.context.requests)}"
        send(self.context, name, self.randomness.choice(vms), "write", statement=name)
