"""The proxy daemon: adapters between the blackboard and the outside."""
