"""Decisions: functions over the tables, without input or output."""
