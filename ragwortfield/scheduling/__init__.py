"""Scheduling of jobs and their tasks on workers, without network access."""
