"""Messages of the platform's list of instances."""

from ..ids import DomainId, InstanceId, RackId, RegionId
from ..resources import Resources
from ..states import InstanceRole, InstanceState
from .base import Message


class Instance(Message, frozen=True):
    """One row of the platform's list of instances."""

    instance: InstanceId
    role: InstanceRole
    state: InstanceState
    address: str
    domain: DomainId
    region: RegionId
    rack: RackId = RackId("")
    capacity: Resources = Resources()
