"""Every size, count and duration of the node, in one type that is filled at start and handed down."""

from __future__ import annotations

import math
from dataclasses import dataclass

from merlinbay.decision.settings import Settings


@dataclass(frozen=True)
class ResourceLimits:
    """Sizes (``_bytes``), durations (``_s``, ``_us``) and counts, grouped by concern."""

    # HTTP messages
    body_bytes: int = 64 * 1024  # of a request's or a response's body
    head_bytes: int = 16 * 1024  # of a request's or a response's head
    receive_bytes: int = 32 * 1024  # of one read from a socket
    read_ahead_bytes: int = 96 * 1024  # read behind a request under way; more than one whole request

    # Client connections
    accept_backlog: int = 1024  # connections that wait for ``accept``
    accept_retry_pause_s: float = 0.02  # after an ``accept`` that failed for want of descriptors
    client_connections: int = 400  # open at the same time
    spare_client_connections: int = 3  # proven connections that stay free where no other balancer serves
    client_idle_timeout_s: float = 75.0  # after which an idle client connection is closed
    read_request_timeout_s: float = 2.0  # from the accept, or a later request's first byte, to its last byte
    write_response_timeout_s: float = 5.0  # for a response to be taken by the client
    linger_s: float = 0.3  # reading on after the response to a malformed request, at the most
    linger_bytes: int = 256 * 1024  # read in that time, at the most
    sweep_interval_s: float = 0.25  # between checks for expired connections
    evict_idle_after_s: float = 0.1  # idle time after which a connection may be closed for another one
    evict_batch: int = 16  # unused connections that are closed for others at one check

    # Requests
    inbox_messages: int = 4096  # messages that wait for the dispatcher; beyond it their senders wait
    max_open_requests: int = 300  # held at the same time
    finished_request_names: int = (
        1024  # names of finished requests that are kept, so that none is sent on again
    )
    response_margin_us: int = 20_000  # between the end of a request and its client's deadline
    deadline_recheck_us: int = 5_000  # after its deadline, a request that the balancer left open fails

    # Connections to servers
    server_connections: int = 400  # open at the same time
    server_tasks: int = 4000  # exchanges with servers under way, rejected ones and cancels included
    connect_timeout_s: float = 0.12
    pool_idle_timeout_s: float = 8.0  # below the servers' keep-alive
    pool_reuse_pause_s: float = 0.05  # between a response and the next use of its connection
    late_response_timeout_s: float = 1.0  # a 202 is waited for so long after the request's deadline
    cancel_timeout_s: float = 2.0  # for a DELETE and its response
    health_check_timeout_s: float = 1.0

    # Discovery by the platform
    endpoint_list_bytes: int = 4 * 1024 * 1024  # of one answer
    watch_connect_timeout_s: float = 0.5  # longer than to servers: many callers must not look like an outage
    first_poll_timeout_s: float = 4.5  # the first poll waits behind those of all other nodes
    watch_wait_s: float = 1.0  # discovery may hold a poll so long; a short one detects a silent watch early
    watch_slack_s: float = 0.75  # the answer is waited for so long after that
    confirm_margin_s: float = 0.05  # after the moment by which all changes count as notified
    malformed_retry_pause_s: float = 0.1  # after a malformed answer; below the 0.2 s that continue a watch
    pushed_poll_timeout_s: float = 0.25  # the machine's agent answers a poll without wait within so long
    pushed_retry_pause_s: float = 0.05  # before the agent is polled again after a failure
    pushed_start_timeout_s: float = 2.0  # a starting process waits so long for the agent's list
    reload_notified_in_us: int = 4_000_000  # after SIGHUP, the new discovery's list counts as notified

    # Discovery by DNS-SD
    dns_query_timeout_s: float = 1.0
    dns_backoff_s: float = 0.1  # after a failed query
    dns_min_interval_s: float = 0.2  # between two queries of the list, whatever its TTL
    dns_max_interval_s: float = 5.0  # between two queries of the list, whatever its TTL
    dns_instances: int = 2000  # of the service; those beyond are ignored

    # Graceful shutdown, in the order of its steps
    stop_arrivals_for_s: float = 0.3  # after SIGTERM, new connections are still expected
    stop_serving_for_s: float = 3.1  # after SIGTERM, requests are still admitted: clients keep connections
    stop_closing_for_s: float = 0.5  # where other nodes serve, clients are sent there before rejection begins
    stop_responses_for_us: int = 300_000  # then requests under way may still end
    stop_rejecting_for_s: float = 0.1  # after the last answer, requests that cross the closing are rejected
    stop_close_timeout_s: float = 0.15  # then connections may end in good order
    stop_timeout_s: float = 3.65  # the process ends at the latest, before SIGKILL
    stop_retry_after_us: int = 100_000  # ``Retry-After`` of requests rejected by a stopping node

    # Standby, while the node serves on
    standby_arrivals_for_s: float = 0.5  # after the operator's call, new clients still connect
    standby_close_after_s: float = 1.4  # after the operator's call, idle connections are closed
    standby_idle_after_s: float = 0.2  # a connection counts as idle after so long
    standby_check_interval_s: float = 0.1  # between checks for idle connections

    # Handover to the next process
    accept_fd: int = -1  # a listening socket that the platform keeps and hands down; -1: none
    handover_timeout_s: float = 1.0  # for the predecessor to hand its state over
    handover_packet_bytes: int = 192 * 1024  # between two processes; Linux lets a socket hold 212,992
    handover_notified_in_us: int = 1_500_000  # after a handover, discovery's list counts as notified
    handover_check_interval_s: float = 0.02  # between checks for connections not yet handed over

    # Operators, log, DRMAA
    admin_connections: int = 16  # that have not sent their line yet
    admin_line_bytes: int = 1024
    admin_call_timeout_s: float = 5.0  # from the accept to the answer
    log_lines_per_s: int = 20
    finished_output_bytes: int = 16 * 1024 * 1024  # of finished DRMAA jobs' outputs that are kept
    drmaa_waits: int = 100  # DRMAA waits under way, each of which holds a client connection


def limits_from(
    sockets: int,
    memory_mb: int,
    settings: Settings,
    connect_timeout_us: int,
    keepalive_us: int,
    max_open_requests: int,
) -> ResourceLimits:
    """Divide the descriptors between clients, servers and the rest; take durations from the site's settings.

    A duration of 0 leaves the default.
    """
    usable = max(sockets - 32, 16)  # the interpreter, trio, discovery and the listener hold the others
    longest_s = min(max(spec.deadline_us for spec in settings.classes) / 1e6, 3.0)
    poll_within_s = settings.safety.must_ask_in_us / 1e6 or math.inf
    defaults = ResourceLimits
    return ResourceLimits(
        # Guards against new clients without a place while descriptors are free: slow or silent clients hold
        # most of their share while a node takes its neighbour's clients as well.
        client_connections=usable * 65 // 100,
        server_connections=usable * 35 // 100,
        # Guards against requests that hold every client connection, so that no call-back could end them.
        max_open_requests=min(max_open_requests, usable * 55 // 100 * 3 // 4),
        finished_output_bytes=memory_mb * 1024 * 1024 // 12,
        drmaa_waits=usable * 55 // 100 // 8,
        inbox_messages=min(4096, max(256, memory_mb * 16)),
        connect_timeout_s=connect_timeout_us / 1e6 if connect_timeout_us > 0 else defaults.connect_timeout_s,
        pool_idle_timeout_s=keepalive_us / 1e6 * 0.7 if keepalive_us > 0 else defaults.pool_idle_timeout_s,
        watch_wait_s=min(defaults.watch_wait_s, poll_within_s / 3),
        dns_max_interval_s=min(defaults.dns_max_interval_s, poll_within_s / 3),
        # Guards against SIGKILL, which comes 0.7 s after the longest deadline, counted as 3 s at the most.
        stop_serving_for_s=longest_s + 0.1,
        stop_timeout_s=longest_s + 0.65,
    )
