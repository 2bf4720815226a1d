"""Validation of IPv4 addresses in settings and configurations."""

import ipaddress
from typing import Final

__all__ = ('is_host_address',)

_BROADCAST: Final = ipaddress.IPv4Address('255.255.255.255')


def is_host_address(text: str) -> bool:
    """Tell whether a text is the dotted IPv4 address of a host.

    Parameters
    ----------
    text : str
        Text to check.

    Returns
    -------
    bool
        False also for the unspecified address, the broadcast address and
        multicast addresses.
    """
    try:
        address = ipaddress.IPv4Address(text)
    except ipaddress.AddressValueError:
        return False
    reserved = address.is_unspecified or address.is_multicast
    return not reserved and address != _BROADCAST
