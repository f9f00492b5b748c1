"""Closing a listening socket without resetting a connection that was just made.

Closing a listener resets the connections that the kernel completed and nobody has
accepted. A filter that drops opening segments lets the listener run empty first: a
caller that comes meanwhile tries again a second later and is then refused.
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
WHOLE_SEGMENT = 0xFFFFFFFF
INSTRUCTION = struct.Struct("HBBI")


def drop_syn_segments(listener: socket.socket) -> bool:
    """Let no further connection open; those that are opening still complete.

    Returns
    -------
    bool
        False where the system has no socket filters; nothing has changed then.
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
    """Return the classic BPF program, over a segment from its TCP header on."""
    instructions = [
        (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        (AND, 0, 0, SYN | ACK),
        (JUMP_IF_EQUAL, 0, 1, SYN),
        (RETURN, 0, 0, 0),
        (RETURN, 0, 0, WHOLE_SEGMENT),
    ]
    code = b"".join(INSTRUCTION.pack(*instruction) for instruction in instructions)
    return array.array("B", code)
