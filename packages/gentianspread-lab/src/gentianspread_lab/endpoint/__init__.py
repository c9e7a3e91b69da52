"""Simulated database endpoint over HTTP, with terms, replication, slots and faults."""
