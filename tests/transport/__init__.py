"""Tests of frames and sockets."""
