"""Communication between the instances of a region.

Control processes detect failed instances, keep the list of members and pass
the configuration on to each other. The packet processes place the shards of
the services on instances and exchange datagrams about flows.
"""

from siskinproxy.instances.configuration_state import (
    ConfigurationInForce,
    ConfigurationResult,
    ConfigurationState,
)
from siskinproxy.instances.configuration_transfer import (
    ConfigurationTransfer,
    FetchedConfiguration,
    TransferStep,
)
from siskinproxy.instances.gossip import decode_message, encode_message
from siskinproxy.instances.membership import Membership, Send, Step

__all__ = (
    'ConfigurationInForce',
    'ConfigurationResult',
    'ConfigurationState',
    'ConfigurationTransfer',
    'FetchedConfiguration',
    'Membership',
    'Send',
    'Step',
    'TransferStep',
    'decode_message',
    'encode_message',
)
