"""Stand-in of the platform's store with its published API and fault injection."""

from __future__ import annotations

import base64
import json
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from attrs import define, field
from werkzeug.serving import make_server
from werkzeug.wrappers import Request, Response

from citronrack.standins.log_service import QuietHandler

PAGE_ITEMS = 500
KEPT_ANSWERS = 5


@define(eq=False)
class _Producer:
    """State of a producer for one partition.

    Attributes:
        epoch: Epoch of the producer.
        sequence: Sequence number of its last append.
        answers: Responses to its latest appends by sequence number, for repeated requests.
    """

    epoch: int
    sequence: int = -1
    answers: dict[int, dict[str, int]] = field(factory=dict)


@define(eq=False)
class _Topic:
    """A topic with one partition.

    Attributes:
        first: Offset of the first retained record.
        records: Retained records.
        newest: Offset and value of the newest record by key.
        producers: Producers by name.
    """

    first: int = 0
    records: list[bytes] = field(factory=list)
    newest: dict[str, tuple[int, bytes]] = field(factory=dict)
    producers: dict[str, _Producer] = field(factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def copy(self) -> _Topic:
        return _Topic(self.first, list(self.records), dict(self.newest), dict(self.producers))


StoreCopy = dict[str, _Topic]
"""A copy of all topics."""


@define(eq=False)
class StoreFaults:
    """Injected faults.

    Attributes:
        refused: Client addresses whose requests are refused; ``*`` stands for all.
        status: Status of refusals.
        lose_answers: Number of appends that are executed but answered with status 504.
        delay_s: Delay of each response.
    """

    refused: set[str] = field(factory=set)
    status: int = 503
    lose_answers: int = 0
    delay_s: float = 0.0


class StoreStandIn:
    """Serves in-memory topics over HTTP; each topic has one partition."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self._topics: dict[str, _Topic] = {}
        self._groups: dict[str, tuple[int, list[str]]] = {}
        self._changed = threading.Condition()
        self._server = make_server(
            host, port, self._application, threaded=True, request_handler=QuietHandler
        )
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="store-stand-in")
        self._stopping = False
        self.era = 1

    @property
    def address(self) -> str:
        """``ip:port`` of the store."""
        return f"{self._server.host}:{self._server.port}"

    def start(self) -> None:
        """Start serving in the background."""
        self._executor.submit(self._server.serve_forever, 0.05)

    def stop(self) -> None:
        """Stop serving and release the port."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._server.shutdown()
        self._server.server_close()
        self._executor.shutdown()

    def put(self, topic: str, key: str, value: bytes | None) -> int:
        """Append a record without a request and return its offset."""
        name = key.encode()
        with self._changed:
            return self._append(topic, [bytes([len(name)]) + name + (value or b"")])

    def value(self, topic: str, key: str) -> bytes | None:
        """Return the newest value of a key."""
        with self._changed:
            record = self._topics.get(topic, _Topic()).newest.get(key)
        return record[1] if record is not None else None

    def trim(self, topic: str) -> None:
        """Drop the history of a topic; the newest record of each key is kept."""
        with self._changed:
            stored = self._topics.setdefault(topic, _Topic())
            stored.first, stored.records = stored.end, []
            self._changed.notify_all()

    def take_copy(self) -> StoreCopy:
        """Return a copy of all topics."""
        with self._changed:
            return {name: topic.copy() for name, topic in self._topics.items()}

    def return_from(self, copy: StoreCopy, *, written_again: str = "") -> None:
        """Replace all topics by a copy, which begins the next era.

        Args:
            copy: The copy.
            written_again: Name of a topic whose newest values are written again at once.
        """
        with self._changed:
            lost = self._topics.get(written_again, _Topic()).newest
            self._topics = {name: topic.copy() for name, topic in copy.items()}
            self.era += 1
            for key, (_, value) in sorted(lost.items(), key=lambda item: item[1][0]):
                name = key.encode()
                self._append(written_again, [bytes([len(name)]) + name + value])
            self._changed.notify_all()

    def _application(self, environ: Any, start_response: Callable[..., Any]) -> Any:
        request = Request(environ)
        name = request.path.removeprefix("/api/")
        self.calls.append(name)
        faults = self.faults
        if faults.refused & {"*", request.remote_addr or ""}:
            response = Response(status=faults.status)
        else:
            if faults.delay_s:
                threading.Event().wait(faults.delay_s)
            handler = _HANDLERS.get((request.method, name))
            response = handler(self, request) if handler is not None else Response(status=404)
        response.headers["Store-Era"] = str(self.era)
        return response(environ, start_response)

    def _append(self, name: str, contents: list[bytes]) -> int:
        topic = self._topics.setdefault(name, _Topic())
        offset = topic.end
        for content in contents:
            key, value = _split(content)
            if value:
                topic.newest[key] = (topic.end, value)
            else:
                topic.newest.pop(key, None)
            topic.records.append(content)
        self._changed.notify_all()
        return offset

    def _log_append(self, request: Request) -> Response:
        name = request.args["topic"]
        contents = _contents(request.get_data())
        with self._changed:
            topic = self._topics.setdefault(name, _Topic())
            as_of = request.args.get("as_of", type=int)
            if as_of is not None and as_of != topic.end:
                return _json({"end": topic.end}, status=412)
            refusal = self._check_producer(topic, request)
            if refusal is not None:
                return refusal
            offset = self._append(name, contents)
            answer = {"offset": offset, "end": topic.end}
            self._remember_answer(topic, request, answer)
            if self.faults.lose_answers:
                self.faults.lose_answers -= 1
                return Response(status=504)
        return _json(answer)

    @staticmethod
    def _check_producer(topic: _Topic, request: Request) -> Response | None:
        name = request.args.get("producer")
        if name is None:
            return None
        epoch = request.args.get("epoch", 0, type=int)
        sequence = request.args.get("sequence", 0, type=int)
        known = topic.producers.get(name)
        if known is None or epoch > known.epoch:
            topic.producers[name] = _Producer(epoch)
            return None
        if epoch < known.epoch:
            return _json({"why": "fenced"}, status=409)
        if sequence in known.answers:
            return _json(known.answers[sequence])
        if known.sequence >= 0 and sequence != known.sequence + 1:
            return _json({"why": "seq", "sequence": known.sequence + 1}, status=409)
        return None

    @staticmethod
    def _remember_answer(topic: _Topic, request: Request, answer: dict[str, int]) -> None:
        name = request.args.get("producer")
        if name is not None:
            producer = topic.producers[name]
            producer.sequence = request.args.get("sequence", 0, type=int)
            producer.answers[producer.sequence] = answer
            while len(producer.answers) > KEPT_ANSWERS:
                del producer.answers[min(producer.answers)]

    def _log_read(self, request: Request) -> Response:
        start = request.args.get("from", 0, type=int)
        wait_s = request.args.get("wait_ms", 0, type=int) / 1000
        name = request.args["topic"]
        with self._changed:
            topic, era = self._topics.setdefault(name, _Topic()), self.era
            if not topic.first <= start <= topic.end:
                return _json({"first": topic.first}, status=410)
            self._changed.wait_for(
                lambda: topic.end > start or self._stopping or self.era != era, timeout=wait_s
            )
            topic = self._topics.setdefault(name, _Topic())
            if not topic.first <= start <= topic.end:
                return _json({"first": topic.first}, status=410)
            contents = topic.records[start - topic.first :]
            head = topic.end.to_bytes(8, "big") + topic.first.to_bytes(8, "big")
        data = b"".join(len(content).to_bytes(4, "big") + content for content in contents)
        return Response(head + data, content_type="application/octet-stream")

    def _log_newest(self, request: Request) -> Response:
        after = request.args.get("after", "")
        with self._changed:
            topic = self._topics.setdefault(request.args["topic"], _Topic())
            keys = sorted(key for key in topic.newest if key > after)
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(topic.newest[key][1]).decode(),
                    "offset": topic.newest[key][0],
                }
                for key in keys[:PAGE_ITEMS]
            ]
            end = topic.end
        return _json({"items": items, "has_more": len(keys) > PAGE_ITEMS, "end": end})

    def _log_join(self, request: Request) -> Response:
        call = request.get_json()
        with self._changed:
            generation, members = self._groups.get(call["group"], (0, []))
            if call["member"] not in members:
                generation, members = generation + 1, [*members, call["member"]]
                self._groups[call["group"]] = (generation, members)
            first = members[0] == call["member"]
        parts = [[topic, 0, 0] for topic in call["topics"]] if first else []
        answer = {"generation": generation, "ttl_time": call["ttl_time"], "parts": parts}
        return _json(answer)

    def _log_leave(self, request: Request) -> Response:
        call = request.get_json()
        with self._changed:
            generation, members = self._groups.get(call["group"], (0, []))
            remaining = [member for member in members if member != call["member"]]
            self._groups[call["group"]] = (generation + 1, remaining)
        return _json({})

    def _log_commit(self, request: Request) -> Response:
        call = request.get_json()
        with self._changed:
            generation, members = self._groups.get(call["group"], (0, []))
        holds = members[:1] == [call["member"]] and call["generation"] == generation
        return _json({}, status=200 if holds else 409)


def _split(content: bytes) -> tuple[str, bytes]:
    end = 1 + content[0]
    return content[1:end].decode(), content[end:]


def _contents(data: bytes) -> list[bytes]:
    contents = []
    while data:
        length = int.from_bytes(data[:4], "big")
        contents.append(data[4 : 4 + length])
        data = data[4 + length :]
    return contents


def _json(value: Any, status: int = 200) -> Response:
    return Response(json.dumps(value), status=status, content_type="application/json")


_HANDLERS: dict[tuple[str, str], Callable[[StoreStandIn, Request], Response]] = {
    ("POST", "log-append"): StoreStandIn._log_append,
    ("GET", "log-read"): StoreStandIn._log_read,
    ("GET", "log-newest"): StoreStandIn._log_newest,
    ("POST", "log-join"): StoreStandIn._log_join,
    ("POST", "log-leave"): StoreStandIn._log_leave,
    ("POST", "log-commit"): StoreStandIn._log_commit,
}
