"""Creation of the administration server from the settings."""

from collections.abc import Callable
from functools import partial

from siskinproxy.balancer.settings import InstanceSettings
from siskinproxy.logs import EventLog
from siskinproxy.operators.admin import AdminServer, AdminService, AdminView
from siskinproxy.operators.changes import ChangeExecutor
from siskinproxy.operators.retirement import retire
from siskinproxy.operators.validation import validate
from siskinproxy.store.client import KeyValueClient
from siskinproxy.store.options import SubmitOptions
from siskinproxy.store.restoration import AcceptedHead

__all__ = ('make_admin_server',)


def make_admin_server(
    cfg: InstanceSettings,
    view: AdminView,
    store: Callable[[], KeyValueClient | None],
    log: EventLog,
    accepted: Callable[[], AcceptedHead | None],
) -> AdminServer:
    """Return the server of the administration interface, not yet started.

    Parameters
    ----------
    cfg : InstanceSettings
        Settings of the instance with ``admin.port`` and ``admin.token``.
    view : AdminView
        Access of the interface to the state of the control process.
    store : callable
        Returns the client of the store; None if the settings name no store.
    log : EventLog
        Log of changes and of rejected calls.
    accepted : callable
        Returns the newest head that the instance knows to have been accepted,
        None if there is none.

    Returns
    -------
    AdminServer
        Server that the caller starts and closes.
    """
    delay_s = cfg.limits.address_reuse_delay_s
    options = SubmitOptions(
        validate=partial(validate, address_reuse_delay_s=delay_s),
        retire=partial(retire, address_reuse_delay_s=delay_s),
    )
    executor = ChangeExecutor(
        cfg.instance.region, store, log, options, accepted=accepted
    )
    service = AdminService(cfg.admin.token, view, executor, log)
    return AdminServer(service, cfg.instance.address, cfg.admin.port)
