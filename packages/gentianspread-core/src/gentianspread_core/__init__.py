"""Decisions of the proxy: a blackboard, its controllers and the rules that must always hold."""
