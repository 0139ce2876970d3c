"""Clauses about the session manager."""

from __future__ import annotations

from merlinbay.conformance.clause import ClauseList
from merlinbay.conformance.probe import ConformanceProbe, expect

CLAUSES = ClauseList()
clause = CLAUSES.add


@clause("SessionManager, drmsName and versions")
def names_itself(p: ConformanceProbe) -> None:
    """The manager tells names and versions with major and minor parts."""
    found = p.good("GET", "")
    for name in ("drmsName", "drmaaName"):
        expect(isinstance(found.get(name), str) and found[name], f"no {name}")
    for name in ("drmsVersion", "drmaaVersion"):
        expect(set(found.get(name) or {}) >= {"major", "minor"}, f"{name}: {found.get(name)}")


@clause("SessionManager, supports")
def tells_capabilities(p: ConformanceProbe) -> None:
    """Supports answers for every capability of the standard, and raises for one that is none."""
    for name in (
        "ADVANCE_RESERVATION",
        "RESERVE_SLOTS",
        "CALLBACK",
        "BULK_JOBS_MAXPARALLEL",
        "JT_EMAIL",
        "JT_STAGING",
        "JT_DEADLINE",
        "JT_MAXSLOTS",
        "JT_ACCOUNTINGID",
        "RT_STARTNOW",
        "RT_DURATION",
        "RT_MACHINEOS",
        "RT_MACHINEARCH",
    ):
        expect(isinstance(p.good("GET", f"/supports/{name}").get("supported"), bool), f"no word of {name}")
    p.raises("InvalidArgumentException", "GET", "/supports/NO_SUCH_CAPABILITY")


@clause("SessionManager, createJobSession")
def creates_sessions(p: ConformanceProbe) -> None:
    """A created session is open, is listed, and its name cannot be taken again."""
    found = p.good("POST", "/sessions", {"sessionName": p.session, "settings": {"backlog": True}})
    expect(found.get("sessionName") == p.session, f"it is called {found.get('sessionName')}")
    expect(p.session in p.good("GET", "/sessions")["sessionNames"], "it is not listed")
    p.raises("InvalidArgumentException", "POST", "/sessions", {"sessionName": p.session})
    p.raises("InvalidArgumentException", "POST", "/sessions", {"sessionName": "a b"})


@clause("SessionManager, openJobSession and closeJobSession")
def closes_sessions(p: ConformanceProbe) -> None:
    """Calls on a closed session raise InvalidSessionException, its jobs go on, and it can be opened again."""
    job = p.run("true", submitAsHold=True)
    p.good("POST", f"/sessions/{p.session}/close")
    p.raises("InvalidSessionException", "POST", p.at("/jobs"), {"jobTemplate": p.template("true")})
    p.raises("InvalidSessionException", "GET", p.at(f"/jobs/{job}"))
    p.good("POST", f"/sessions/{p.session}/open")
    expect(p.info(job).get("jobState") == "QUEUED_HELD", "the job is not as it was")
    p.good("POST", p.at(f"/jobs/{job}/terminate"))
    p.raises("InvalidArgumentException", "POST", "/sessions/no-such-session/open")


@clause("SessionManager, destroyJobSession")
def destroys_sessions(p: ConformanceProbe) -> None:
    """A destroyed session is gone from the list, and every call on it raises."""
    name = f"{p.session}-2"
    p.good("POST", "/sessions", {"sessionName": name, "settings": {"backlog": True}})
    p.good("DELETE", f"/sessions/{name}")
    expect(name not in p.good("GET", "/sessions")["sessionNames"], "it is still listed")
    for method, path in (("GET", ""), ("POST", "/jobs"), ("GET", "/jobs")):
        p.raises(
            "InvalidArgumentException|InvalidSessionException",
            method,
            f"/sessions/{name}{path}",
            {"jobTemplate": p.template("true")} if method == "POST" else None,
        )
    p.raises("InvalidArgumentException", "DELETE", f"/sessions/{name}")
