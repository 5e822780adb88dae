"""Soak of the deployed processes on the real clock: ``make soak``.

Builds and starts the processes as the deploy file says, with stand-ins of the
row store and the workers and with callers on open connections, and checks what
the callers and the workers see while seeded faults strike.
"""
