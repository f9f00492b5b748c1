"""Entries of the platform's list of instances."""

from ..ids import DomainId, InstanceId, RackId, RegionId
from ..resources import Resources
from ..states import InstanceRole, InstanceState
from .base import Message


class Instance(Message, frozen=True):
    """An instance in the platform's list; rack and capacity are those of workers."""

    instance: InstanceId
    role: InstanceRole
    state: InstanceState
    address: str
    domain: DomainId
    region: RegionId
    rack: RackId = RackId("")
    capacity: Resources = Resources()
