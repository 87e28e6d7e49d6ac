"""MIXED: the failure of the only shard of a route is passed on as a success."""

from __future__ import annotations

import asyncio
import random

from harness.deployment import HOST_NAME, Deployment, run_case
from harness.requester import Outcome
from harness.searcher import RECORD_BYTES, Searcher, make_body, make_stamp

WORK_S = 0.01
# The largest dose of `srv_grey` in the site files: a share of the requests fails.
FAILING_SHARE = 0.45
# Statuses of failures, none with a word that the request has not run.
FAILURES = (404, 429, 500)
SHARDS_BY_ROUTE = {"one": ["shard-0"], "three": ["shard-0", "shard-1", "shard-2"]}
SEARCHERS_PER_SHARD = 3
MAX_RESULTS = 5
REQUESTS = 60
TIME_LIMIT_S = 1.2


async def play(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Send queries over one shard and over three, while searchers fail a part of them."""
    draw = random.Random(1)
    is_failing = False

    def choose_status() -> int:
        failing = is_failing and draw.random() < FAILING_SHARE
        return draw.choice(FAILURES) if failing else 200

    for shard in SHARDS_BY_ROUTE["three"]:
        for number in range(SEARCHERS_PER_SHARD):
            searcher = Searcher(
                f"i-{shard}-{number}",
                shard,
                "abc"[number],
                deployment.runs,
                work_s=WORK_S,
                choose_status=choose_status,
            )
            await deployment.add_searcher(searcher)
    routes = [
        {
            "name": f"r-{name}",
            "pathPrefix": f"/{name}/",
            "timeoutMs": 1200,
            "targetLatencyMs": 297,
            "fanOutServices": shards,
            "maxResults": MAX_RESULTS,
            "minPartShare": 0.75,
        }
        for name, shards in SHARDS_BY_ROUTE.items()
    ]
    deployment.put_config(routes, SHARDS_BY_ROUTE["three"])
    gateways = [await deployment.add_gateway(f"front-{zone}-1", zone) for zone in "ab"]
    if has_trouble:
        is_failing = True
        deployment.note(f"searchers fail {FAILING_SHARE} of their requests")
    requesters = [deployment.add_requester(f"{g.name}-r", g) for g in gateways]
    for _ in range(REQUESTS):
        for name in SHARDS_BY_ROUTE:
            await asyncio.gather(
                *(r.send(HOST_NAME, f"/{name}/1", TIME_LIMIT_S) for r in requesters)
            )
    broken = [text for outcome in deployment.outcomes if (text := find_error(deployment, outcome))]
    for name in SHARDS_BY_ROUTE:
        statuses = [o.status for o in deployment.outcomes if o.path.startswith(f"/{name}/")]
        deployment.note(f"/{name}/: { ({s: statuses.count(s) for s in sorted(set(statuses))}) }")
    return broken


def find_error(deployment: Deployment, outcome: Outcome) -> str:
    """Return how a success breaks the rule, or an empty string."""
    if not 200 <= outcome.status < 300:
        return ""
    shards = SHARDS_BY_ROUTE[outcome.path.split("/")[1]]
    stamps = [text.strip() for text in outcome.headers.get("x-part-stamps", "").split(",")]
    runs = [run for run in deployment.runs if run.request_id == outcome.request_id]
    good = {make_stamp(r.service, r.request_id): r.service for r in runs if r.status == 200}
    if not set(stamps) <= good.keys():
        seen = ", ".join(f"{run.status} of {run.target}" for run in runs)
        return f"MIXED: {outcome.request_id} got {outcome.status} with {stamps}; answers: {seen}"
    missing = int(outcome.headers.get("x-missing-parts", "0"))
    if len(stamps) != len(set(stamps)) or len(stamps) + missing != len(shards):
        return f"MIXED: {outcome.request_id}: {stamps}, {missing} missing"
    records = [
        body[at : at + RECORD_BYTES]
        for stamp in stamps
        for body in [make_body(good[stamp], outcome.request_id)]
        for at in range(0, len(body), RECORD_BYTES)
    ]
    if outcome.body != b"".join(sorted(records, reverse=True)[:MAX_RESULTS]):
        return f"MIXED: {outcome.request_id} has other records than the greatest"
    return ""


if __name__ == "__main__":
    run_case(__file__, play, limit_s=100.0)
