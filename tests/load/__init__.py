"""Replays of load patterns on the admission decisions, without sockets, threads or real time."""
