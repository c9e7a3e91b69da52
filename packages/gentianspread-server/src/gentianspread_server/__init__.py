"""The proxy daemon: adapters that connect the blackboard to the network, disk and clock."""
