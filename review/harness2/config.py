"""Configurations as operators write them."""

from __future__ import annotations

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def make_route(name: str, prefix: str, service: str, **fields: object) -> dict:
    """Return a route to one service."""
    return {
        "name": name,
        "host": "app.example",
        "pathPrefix": prefix,
        "kind": "safe",
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    } | fields


def make_config(version: int, routes: list[dict], services: list[str], **limits: int) -> dict:
    """Return a whole configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "healthCheckPath": "/health",
                "maxConnections": 46,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 3.0,
                "coldPerS": 0.0,
            }
            for service in services
        ],
        "limits": LIMITS | limits,
    }
