"""Simulated endpoints and load balancer, and tools for load, experiments and tests."""
