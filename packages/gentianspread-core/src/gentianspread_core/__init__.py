"""Core of the proxy, without I/O: the blackboard, its controllers and the invariants."""
