"""Helpers that send streaming requests and bookings as a caller does."""

import json

import httpx

from standins import bringup
from standins import engine


def stream(url, prompt, tokens=8, headers=None, timeout=30.0):
    """Return the events of a streamed answer as ``(position, data)``."""
    events = []
    for event in iterate(url, prompt, tokens, headers, timeout):
        events.append(event)
    return events


def iterate(url, prompt, tokens=8, headers=None, timeout=30.0):
    """Yield the events of a streamed answer as they arrive."""
    body = {
        "model": bringup.MODEL,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": True,
    }
    with httpx.Client(timeout=timeout, trust_env=False) as http:
        with http.stream(
            "POST", f"{url}/v1/completions", json=body, headers=headers
        ) as answer:
            if answer.status_code != 200:
                answer.read()
                raise RuntimeError(answer.text)
            position = None
            for line in answer.iter_lines():
                if line.startswith("id:"):
                    position = int(line[3:])
                elif line.startswith("data:"):
                    yield position, line[5:].strip()


def expected(prompt, tokens, after=0):
    """Return the events of a complete answer after position ``after``."""
    rows = []
    for position in range(after + 1, tokens + 1):
        rows.append((position, engine.token_at(prompt, position)))
    return [*rows, (tokens + 1, "[DONE]")]


def texts(events):
    """Return the events with their text in place of the JSON."""
    rows = []
    for position, data in events:
        if data != "[DONE]":
            data = json.loads(data)["choices"][0]["text"]
        rows.append((position, data))
    return rows


def book(url, key, text="pears", timeout=15.0, caller="clinic"):
    """Send a booking and return the answer."""
    with httpx.Client(timeout=timeout, trust_env=False) as http:
        return http.post(
            f"{url}/services/{bringup.SERVICE}/book",
            content=text,
            headers={"Idempotency-Key": key, "X-Caller": caller},
        )
