"""Decisions under load: cores without sockets, threads or clocks; the time is passed in."""
