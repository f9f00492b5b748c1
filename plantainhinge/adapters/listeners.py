"""Closes a listening socket without resetting connections that are still queued.

Closing a listener resets the connections that the kernel has established but the
process hasn't accepted. A socket filter that drops SYN segments lets the accept queue
drain first: a client that connects meanwhile retransmits its SYN a second later and
is refused then.
"""

import array
import socket
import struct

SO_ATTACH_FILTER = 26
FLAGS_OFFSET = 13
SYN = 0x02
ACK = 0x10
LOAD_BYTE = 0x30
AND = 0x54
JUMP_IF_EQUAL = 0x15
RETURN = 0x06
ACCEPT_WHOLE_SEGMENT = 0xFFFFFFFF
INSTRUCTION = struct.Struct("HBBI")


def drop_syn_segments(listener: socket.socket) -> bool:
    """Drop SYN segments, so that only handshakes already under way complete.

    Returns
    -------
    bool
        False if the system doesn't support socket filters; the listener is then
        unchanged.
    """
    program = _build_program()
    address, _ = program.buffer_info()
    count = len(program) // INSTRUCTION.size
    try:
        listener.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HP", count, address)
        )
    except OSError:
        return False
    return True


def _build_program() -> "array.array[int]":
    """Return the classic BPF program; offsets count from the TCP header."""
    instructions = [
        (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        (AND, 0, 0, SYN | ACK),
        (JUMP_IF_EQUAL, 0, 1, SYN),
        (RETURN, 0, 0, 0),
        (RETURN, 0, 0, ACCEPT_WHOLE_SEGMENT),
    ]
    code = b"".join(INSTRUCTION.pack(*instruction) for instruction in instructions)
    return array.array("B", code)
