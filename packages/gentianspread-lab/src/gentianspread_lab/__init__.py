"""Stand-ins for endpoints and balancer, and the load and experiment tools."""
