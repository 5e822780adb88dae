"""Trials of the decisions on jobs and workers, without network or clock."""
