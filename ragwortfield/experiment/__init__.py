"""Simulations of the scheduling decisions, without network or real time."""
