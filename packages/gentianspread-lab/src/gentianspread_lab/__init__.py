"""Stand-ins for endpoints and the load balancer, and tools for load, experiments and tests."""
