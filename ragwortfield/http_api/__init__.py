"""Interfaces of callers and operators over HTTP."""
