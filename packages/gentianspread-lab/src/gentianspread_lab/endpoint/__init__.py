"""Stand-in for a database endpoint: terms, log positions, replication, slots and faults."""
