"""Every size, count and time of the node, in one type that is filled at start and handed down."""

from __future__ import annotations

from dataclasses import dataclass

from merlinbay.decision.settings import Settings


@dataclass(frozen=True)
class ResourceLimits:
    """Sizes in bytes, times in seconds unless the name ends in ``_us``."""

    body_bytes: int = 64 * 1024
    head_bytes: int = 16 * 1024
    receive_bytes: int = 32 * 1024
    backlog: int = 1024
    inbox: int = 4096  # messages that wait for the owner; beyond it, readers wait and so do their peers
    edge_connections: int = 400
    server_connections: int = 400
    server_tasks: int = 4000  # exchanges with real servers under way, refused ones and cancels included
    most_held: int = 300  # requests
    names_remembered: int = 1024  # of requests that are over: the same name is not sent on again
    linger: float = 0.3  # after an answer to what can't be read,
    linger_bytes: int = 256 * 1024  # and so much more is taken in
    ahead_bytes: int = 96 * 1024  # read behind a request that is not answered yet: over one whole request
    sweep: float = 0.25  # between looks for connections that have expired
    edge_idle: float = 75.0  # an edge connection that stands idle is closed
    read_request: float = 2.0  # from the accept, or a later request's first byte, to a request's last byte
    write_answer: float = 5.0
    dial: float = 0.12
    pool_idle: float = 8.0  # below the real servers' keep-alive
    pool_rest: float = 0.05  # one that has brought an answer is not used again for so long
    evict_after: float = 0.1  # a connection has stood idle so long before it may be closed for another
    evict_at_once: int = 16  # connections never served that are closed for others at one look
    accept_pause: float = 0.02  # after an accept that failed for want of descriptors
    cancel_exchange: float = 2.0  # for a DELETE and its answer
    probe_exchange: float = 1.0
    watch_dial: float = 0.5  # longer than for real servers: a crowd of callers must not pass for an outage
    watch_first: float = 4.5  # a first call waits in turn, behind those of all other nodes
    watch_wait: float = 1.0  # discovery may hold a call so long: a shorter one shows a silent watch sooner,
    watch_confirm: float = 0.05  # after the moment by which all counts as notified
    watch_slack: float = 0.75  # as its answer is waited for so long after that
    watch_spoilt: float = 0.1  # after an answer that makes no sense, below the 0.2 s that continue a watch
    push_first: float = 0.25  # the machine's own agent answers a call that waits for nothing within so long,
    push_retry: float = 0.05  # or is called again after so long
    push_start: float = 2.0  # and a process that starts waits so long for its list
    reload_told_us: int = 4_000_000  # after SIGHUP, what the new discovery has counts as told
    recheck_us: int = 5_000  # after its deadline, a request that the module left unanswered fails
    answer_margin_us: int = 20_000  # a request is given up so long before its client gives it up
    late_answer: float = 1.0  # a 202 is waited for so long after the request's deadline
    stop_serving: float = 3.1  # after SIGTERM, go on as before for so long: clients keep their connections
    stop_arrivals: float = 0.3  # after which no new connection is expected any more
    stop_retiring: float = 0.5  # where others serve, clients are sent there so long before jobs are refused
    spare_connections: int = 3  # and so many of the kept ones stay free, where no other balancer serves
    stop_answers_us: int = 300_000  # and then have the requests under way end within so long
    stop_tail: float = 0.1  # refuse for so long after the last answer, for what crossed the closing
    stop_part: float = 0.15  # then wait so long for connections to end in good order,
    stop_most: float = 3.65  # and leave after so long at the latest, before SIGKILL
    retry_when_stopping_us: int = 100_000
    admin_connections: int = 16  # operators' calls that wait for their line
    admin_line: int = 1024  # bytes of one
    admin_call: float = 5.0  # and so long it may take
    away_arrivals: float = 0.5  # after clients are sent away, new ones still come for so long;
    away_idle: float = 1.4  # so long after the call, connections that stand idle are closed,
    away_quiet: float = 0.2  # if they have done so for a while,
    away_look: float = 0.1  # which is looked at so often
    accept_fd: int = -1  # a listening socket that the platform keeps and hands down; -1: none
    inherit: float = 1.0  # the old process is waited for so long
    link_bytes: int = 192 * 1024  # of a packet between the two, below what Linux lets a socket hold (212,992)
    inherit_told_us: int = 1_500_000  # what discovery has counts as told so long after a hand-over
    hand_look: float = 0.02  # between looks for connections not yet handed over
    finished_bytes: int = 16 * 1024 * 1024  # of the outputs of DRMAA jobs kept after their end
    waits: int = 100  # DRMAA waits under way, each of which holds an edge connection
    dns_query: float = 1.0
    dns_backoff: float = 0.1  # after a query that failed
    dns_least: float = 0.2  # a list is asked for again after its least TTL, but neither sooner
    dns_most: float = 5.0  # nor later than this
    dns_instances: int = 2000
    log_lines: int = 20  # a second
    listing_bytes: int = 4 * 1024 * 1024  # a list of service entries


def limits_from(
    sockets: int, memory_mb: int, settings: Settings, dial_us: int, keepalive_us: int, most_held: int
) -> ResourceLimits:
    """Divide the descriptors between the edge, the real servers and the rest; take times from the site."""
    usable = max(sockets - 32, 16)  # the interpreter, trio, discovery and the listener hold the others
    longest = max(job_class.deadline_us for job_class in settings.classes) / 1e6
    ask_in = settings.safety.must_ask_in_us / 1e6
    return ResourceLimits(
        # Guards against a door shut for want of places while descriptors lie idle: clients that write slowly,
        # or stay without a word, hold most of them while a node takes its neighbour's clients as well.
        edge_connections=usable * 65 // 100,
        server_connections=usable * 35 // 100,
        # Guards against requests that hold every edge connection, so that no call-back could end them.
        most_held=min(most_held, usable * 55 // 100 * 3 // 4),
        finished_bytes=memory_mb * 1024 * 1024 // 12,
        waits=usable * 55 // 100 // 8,
        inbox=min(4096, max(256, memory_mb * 16)),
        dial=dial_us / 1e6 if dial_us > 0 else ResourceLimits.dial,
        pool_idle=keepalive_us / 1e6 * 0.7 if keepalive_us > 0 else ResourceLimits.pool_idle,
        watch_wait=min(ResourceLimits.watch_wait, ask_in / 3) if ask_in else ResourceLimits.watch_wait,
        dns_most=min(ResourceLimits.dns_most, ask_in / 3) if ask_in else ResourceLimits.dns_most,
        # Guards against SIGKILL, which comes 0.7 s after the longest deadline, counted as 3 s at the most.
        stop_serving=min(longest, 3.0) + 0.1,
        stop_most=min(longest, 3.0) + 0.65,
    )
