"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import base64
import bisect
import json
import threading
import time

from .http_server import NoAnswer, serve

PAGE_ITEMS = 500


class Store:
    """Keys with revisions, leases and watches. Leases end when their time is over."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.revision = 0
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        # Decides what becomes of a commit: None, or a function that is called with the commit and
        # returns the seconds after which it is carried out without an answer, or None.
        self.late_commit = None
        self.server, self.address = serve(self._route)
        threading.Thread(target=self._end_leases, daemon=True).start()

    # What the operator and the workers write.

    def put(self, key, value):
        """Writes a key without a condition; `value` is a JSON value."""
        with self.changed:
            self.revision += 1
            self._write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

    def remove(self, key):
        """Removes a key, if it is there."""
        with self.changed:
            self.revision += 1
            self._remove(key)

    # State, with `self.changed` held. All changes of one call have one revision.

    def _write(self, key, value, lease):
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "made": made, "lease": lease}
        self.items[key] = item
        self.history.append(item)
        self.changed.notify_all()

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision, "gone": True})
            self.changed.notify_all()

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is not None:
            self.revision += 1
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self._remove(key)

    def _end_leases(self):
        while True:
            time.sleep(0.02)
            now = time.monotonic()
            with self.changed:
                for lease in [k for k, (ends, _) in self.leases.items() if ends < now]:
                    self._end_lease(lease)

    # Calls.

    def _route(self, method, path, query, _headers, body):
        if path == "/v1/kv-key":
            return self._key(query["key"])
        if path == "/v1/kv-range":
            return self._range(query["pathPrefix"], query.get("dependsOn", ""))
        if path == "/v1/kv-watch":
            return self._watch(query["pathPrefix"], int(query["dependsOn"]), int(query["waitMs"]))
        if path == "/v1/kv-txn":
            return self._commit(body)
        if path == "/v1/kv-lease":
            return self._grant(int(body["ttl_ms"]))
        if path.startswith("/v1/kv-keep/"):
            return self._keep(int(path.rsplit("/", 1)[1]))
        if path.startswith("/v1/kv-lease-end/"):
            with self.changed:
                self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def _key(self, key):
        with self.changed:
            item = self.items.get(key)
            return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})

    def _range(self, prefix, after):
        with self.changed:
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[k] for k in keys[:PAGE_ITEMS]]
            return 200, {"items": items, "more": len(keys) > PAGE_ITEMS, "at": self.revision}

    def _watch(self, prefix, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                first = bisect.bisect_right(self.history, after, key=lambda event: event["revision"])
                events = [event for event in self.history[first:] if event["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                self.changed.wait(left)

    def _commit(self, body):
        late_after = self.late_commit(body) if self.late_commit else None
        if late_after is not None:
            threading.Timer(late_after, self._carry_out_late, [body, late_after]).start()
            raise NoAnswer
        return self._apply(body)

    def _carry_out_late(self, body, late_after):
        status, _ = self._apply(body)
        keys = [put["key"] for put in body["put"]]
        self.record.add("store", "late-commit", keys=keys, after_s=late_after, status=status)

    def _apply(self, body):
        with self.changed:
            now = {row["key"]: self.items.get(row["key"]) for row in body["expectedRev"]}
            fails = any((now[row["key"]] or {"revision": 0})["revision"] != row["revision"] for row in body["expectedRev"])
            if fails:
                return 412, {"items": [item for item in now.values() if item]}
            if any(put["lease"] and put["lease"] not in self.leases for put in body["put"]):
                return 404, {}
            self.revision += 1
            for put in body["put"]:
                self._write(put["key"], put["value"], put["lease"])
            for key in body["remove"]:
                self._remove(key)
            return 200, {"revision": self.revision}

    def _grant(self, ttl_ms):
        with self.changed:
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}

    def _keep(self, lease):
        with self.changed:
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
