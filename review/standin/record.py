"""What a script writes down: one JSON object a line."""

import json
import threading
import time


class Record:
    """Lines of `record.txt`, with the seconds since the script began."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def add(self, who, what, **details):
        line = json.dumps({"at_s": round(self.now(), 3), "who": who, "what": what, **details})
        with self.lock:
            if not self.file.closed:
                self.file.write(line + "\n")
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()
