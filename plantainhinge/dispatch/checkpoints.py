"""Checkpoints of tasks, and the one that the members of a gang share.

A gang resumes only if all its members are started with the same checkpoint; that of any
member serves.
"""

from .model import OpenStep, Task


def note_checkpoint(task: Task, value: str) -> None:
    """Store a checkpoint that a worker reports, unless it is known or empty."""
    if not value or value == task.checkpoint:
        return
    task.checkpoint = value
    if task.step.spec.gang:
        task.step.checkpoint = value


def share_checkpoint(step: OpenStep) -> None:
    """Let the next run of a gang begin with the same checkpoint at all members."""
    for task in step.tasks:
        task.checkpoint = step.checkpoint


def find_checkpoint(task: Task) -> str:
    """Return the checkpoint from which a task's next attempt would resume."""
    return task.step.checkpoint if task.step.spec.gang else task.checkpoint
