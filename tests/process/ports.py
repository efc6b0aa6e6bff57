"""Ports that no other process takes before the one that they were chosen for."""
import itertools
import os
import socket

# Below the range from which outgoing connections take their ports, so that
# none of them takes a port between its choice and the daemon's bind.
FIRST_PORT = 20000
BLOCK_PORTS = 400
BLOCKS = 30


def reserve_block():
    """Takes a block of ports for this process: a socket on the first one keeps
    tests that run at the same time out. Returns it with the other ports."""
    for turn in range(BLOCKS):
        first = FIRST_PORT + (os.getpid() + turn) % BLOCKS * BLOCK_PORTS
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
            return guard, itertools.cycle(range(first + 1, first + BLOCK_PORTS))
        except OSError:
            guard.close()
    raise AssertionError("no block of ports is free")


GUARD, PORTS = reserve_block()


def fixed_port():
    """A port that is free for TCP and UDP, another one at each call."""
    while True:
        port = next(PORTS)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
            try:
                stream.bind(("127.0.0.1", port))
                datagram.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
