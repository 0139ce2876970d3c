"""The sizes, counts and durations of a node, in one type that is filled at the start and passed on."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from merlinbay.decision.settings import Settings


@dataclass(frozen=True)
class ResourceLimits:
    """Sizes (``_bytes``), durations (``_s``, ``_us``) and counts, grouped by concern."""

    # HTTP messages
    body_bytes: int = 64 * 1024  # maximum size of the body of a request or response
    head_bytes: int = 16 * 1024  # maximum size of the head of a request or response
    head_fields: int = 100  # maximum number of fields in a head, each of which costs far more than its bytes
    # Maximum size of the part of a chunked body that is parsed at once; each chunk costs time of its own.
    chunked_part_bytes: int = 1024
    receive_bytes: int = 32 * 1024  # maximum size of one read from a socket
    # Limit for reads behind a request that is in progress; larger than one complete request.
    read_ahead_bytes: int = 96 * 1024
    message_bytes: int = 16 * 1024 * 1024  # maximum size of all messages that connections hold at a time

    # Client connections
    accept_backlog: int = 1024  # length of the queue of connections that wait for ``accept``
    # Pause after an ``accept`` that failed, for example for lack of descriptors, or while no place is free.
    accept_retry_pause_s: float = 0.02
    client_connections: int = 400  # maximum number of open connections
    # While a node without other balancers shuts down, it keeps this many connections idle for its clients.
    # Only connections that have served a request count.
    spare_client_connections: int = 3
    client_idle_timeout_s: float = 75.0  # idle time after which a client connection is closed
    # Time from the accept, or from the first byte of a later request, to the last byte of the request.
    read_request_timeout_s: float = 2.0
    write_response_timeout_s: float = 5.0  # time for the client to read a part of a response
    linger_s: float = 0.3  # maximum time to wait for the client to close after the last response
    linger_bytes: int = 256 * 1024  # maximum number of bytes that are read and dropped in ``linger_s``
    sweep_interval_s: float = 0.25  # interval between checks for expired connections
    evict_idle_after_s: float = 0.1  # idle time after which a connection may be closed to make room
    evict_batch: int = 16  # maximum number of unused connections closed at once to make room

    # Requests
    inbox_messages: int = 4096  # messages that wait for the dispatcher; when it is full, senders wait
    max_open_requests: int = 300  # maximum number of open requests
    # Number of names of finished requests that are kept, so that none of them is dispatched again.
    finished_request_names: int = 1024
    response_margin_us: int = 20_000  # time between the end of a request and its client's deadline
    # Time from a request's deadline until it is failed if the decision module has left it open.
    deadline_recheck_us: int = 5_000

    # Connections to servers
    server_connections: int = 400  # maximum number of open connections
    # Maximum number of exchanges in progress: attempts, also those that servers reject, cancels and health
    # checks.
    server_tasks: int = 4000
    connect_timeout_s: float = 0.12
    pool_idle_timeout_s: float = 8.0  # shorter than the keep-alive timeout of the servers
    pool_reuse_pause_s: float = 0.05  # pause between a response and the next use of its connection
    late_response_timeout_s: float = 1.0  # time after an attempt's deadline to wait for a late 202
    cancel_timeout_s: float = 2.0  # time for a DELETE and its response
    health_check_timeout_s: float = 1.0

    # Discovery by the platform
    endpoint_list_bytes: int = 4 * 1024 * 1024  # maximum size of one response
    endpoint_entries: int = 16 * 1024  # maximum number of entries in one response
    # Longer than the timeout for servers: slow connects when there are many callers must not look like an
    # outage.
    watch_connect_timeout_s: float = 0.5
    first_poll_timeout_s: float = 4.5  # the first poll waits behind the first polls of all other nodes
    # Time for which discovery may hold a poll; a short time detects a silent watch early.
    watch_wait_s: float = 1.0
    watch_slack_s: float = 0.75  # additional time to wait for the response to a held poll
    confirm_margin_s: float = 0.05  # added to the time by which all changes count as notified
    # Pause after a malformed response; shorter than the 0.2 s within which the next poll continues a watch.
    malformed_retry_pause_s: float = 0.1
    # Time within which the machine's agent answers a poll that does not wait.
    pushed_poll_timeout_s: float = 0.25
    pushed_retry_pause_s: float = 0.05  # pause before the agent is polled again after a failure
    pushed_start_timeout_s: float = 2.0  # time for which a starting process waits for the agent's list
    reload_notified_in_us: int = 4_000_000  # time after SIGHUP until the new list counts as notified

    # Discovery by DNS-SD
    dns_query_timeout_s: float = 1.0
    dns_backoff_s: float = 0.1  # pause after a failed query
    dns_min_interval_s: float = 0.2  # minimum time between two queries of the list, whatever its TTL
    dns_max_interval_s: float = 5.0  # maximum time between two queries of the list, whatever its TTL
    dns_instances: int = 2000  # maximum number of instances of the service; further ones are ignored

    # Graceful shutdown, in the order of its steps
    stop_arrivals_for_s: float = 0.3  # time after SIGTERM in which new connections are still expected
    # Time after SIGTERM in which requests are still admitted, because clients keep their connections.
    stop_serving_for_s: float = 3.1
    # If other nodes serve, clients are sent to them this long before rejection begins.
    stop_closing_for_s: float = 0.5
    stop_responses_for_us: int = 300_000  # time for open requests to end after admission has ended
    # Time after the last response in which late requests are rejected before connections close.
    stop_rejecting_for_s: float = 0.1
    stop_close_timeout_s: float = 0.15  # time for connections to close cleanly once rejection has ended
    stop_timeout_s: float = 3.65  # time after SIGTERM by which the process ends, before SIGKILL
    stop_retry_after_us: int = 100_000  # ``Retry-After`` of requests that a stopping node rejects

    # Standby, in which the node goes on serving; it begins with the operator's command ``standby``
    standby_arrivals_for_s: float = 0.5  # time after ``standby`` in which new clients still connect
    standby_close_after_s: float = 1.4  # time after ``standby`` at which idle connections are closed
    standby_idle_after_s: float = 0.2  # time without a request after which a connection counts as idle
    standby_check_interval_s: float = 0.1  # interval between checks for idle connections

    # Handover to the next process
    accept_fd: int = -1  # descriptor of a listening socket that the platform hands down; -1 means none
    handover_timeout_s: float = 1.0  # time for the predecessor to send its state
    handover_packet_bytes: int = 192 * 1024  # maximum size; Linux limits a socket's buffer to 212,992
    handover_notified_in_us: int = 1_500_000  # time after a handover until the list counts as notified
    handover_check_interval_s: float = 0.02  # interval between checks for connections not yet handed over

    # Operators, log, DRMAA
    admin_connections: int = 16  # maximum number of connections that have not sent their line yet
    admin_line_bytes: int = 1024  # maximum size of an operator's command line
    admin_call_timeout_s: float = 5.0  # time from the accept to the response
    log_lines_per_s: int = 20
    finished_output_bytes: int = 16 * 1024 * 1024  # total size of the kept outputs of finished DRMAA jobs
    drmaa_waits: int = 100  # maximum number of DRMAA waits, each of which holds a client connection


MEBIBYTE = 1024 * 1024
PROCESS_BYTES = 36 * MEBIBYTE  # what a node holds before its first client connects
CONNECTION_BYTES = 12 * 1024  # what a silent connection holds
MIN_CONNECTIONS = 128
ENTRIES_PER_MEBIBYTE = 64  # an entry that is used takes some kilobytes
MIN_ENTRIES = 4096  # more than the largest fleets have
NAMES_PER_MEBIBYTE = 128  # a hundredth of the memory
MIN_MESSAGE_BYTES = 2 * MEBIBYTE


def limits_from(
    sockets: int,
    memory_mb: int,
    settings: Settings,
    connect_timeout_us: int,
    keepalive_us: int,
    max_open_requests: int,
) -> ResourceLimits:
    """Divide the descriptors between clients, servers and the rest; derive durations from the settings.

    A duration of 0 keeps the default.
    """
    longest_s = min(max(spec.deadline_us for spec in settings.classes) / 1e6, 3.0)
    poll_within_s = settings.safety.must_ask_in_us / 1e6 or math.inf
    defaults = ResourceLimits
    return replace(
        _divided(sockets, memory_mb, max_open_requests),
        connect_timeout_s=connect_timeout_us / 1e6 if connect_timeout_us > 0 else defaults.connect_timeout_s,
        pool_idle_timeout_s=keepalive_us / 1e6 * 0.7 if keepalive_us > 0 else defaults.pool_idle_timeout_s,
        watch_wait_s=min(defaults.watch_wait_s, poll_within_s / 3),
        dns_max_interval_s=min(defaults.dns_max_interval_s, poll_within_s / 3),
        # SIGKILL follows 0.7 s after the longest deadline, which counts as 3 s at most. The process must end
        # before that.
        stop_serving_for_s=longest_s + 0.1,
        stop_timeout_s=longest_s + 0.65,
    )


def _divided(sockets: int, memory_mb: int, max_open_requests: int) -> ResourceLimits:
    """Divide the descriptors and the memory."""
    usable = max(sockets - 32, 16)  # the rest is for the interpreter, trio, discovery and the listener
    free_bytes = memory_mb * MEBIBYTE - PROCESS_BYTES
    # Where memory is the shorter one, silent connections may take half of what is free.
    client_connections = min(usable * 65 // 100, max(free_bytes // 2 // CONNECTION_BYTES, MIN_CONNECTIONS))
    return ResourceLimits(
        # The shares for clients and servers add up to all usable descriptors. Slow or silent clients may hold
        # most of the clients' share while the node also serves its neighbour's clients, and new clients must
        # not be refused while descriptors are free.
        client_connections=client_connections,
        server_connections=usable * 35 // 100,
        # Requests must not hold every client connection, because then no callback could arrive to end them.
        max_open_requests=min(max_open_requests, usable * 55 // 100 * 3 // 4, client_connections * 3 // 4),
        drmaa_waits=min(usable * 55 // 100, client_connections) // 8,
        # The interpreter's heap grows by more than the messages' own size.
        message_bytes=max(free_bytes // 6, MIN_MESSAGE_BYTES),
        endpoint_entries=max(memory_mb * ENTRIES_PER_MEBIBYTE, MIN_ENTRIES),
        finished_request_names=memory_mb * NAMES_PER_MEBIBYTE,
        finished_output_bytes=memory_mb * MEBIBYTE // 12,
        inbox_messages=min(4096, max(256, memory_mb * 16)),
    )
