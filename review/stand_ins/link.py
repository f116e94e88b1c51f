"""A link between a machine and the store: a TCP proxy, one of whose open channels can go silent."""
import socket
import threading


class Link:
    """Forwards channels. With `arm()`, the next channel on which a response to a request that
    begins with `request` is under way goes silent for good, without a reset: what has passed of
    the response stays, nothing more passes in either direction. New channels work."""

    def __init__(self, address, target, record, name):
        self.address = f"{address[0]}:{address[1]}"
        self.silent = threading.Event()
        self._target = target
        self._record = record
        self._name = name
        self._lock = threading.Lock()
        self._armed = None
        self._listener = socket.create_server(address, backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def arm(self, request: bytes, passed_bytes: int) -> None:
        """`passed_bytes` of a longer response pass."""
        with self._lock:
            self._armed = (request, passed_bytes)

    def stop(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self._target, timeout=2)
            except OSError:
                near.close()
                continue
            for end in (near, far):
                end.settimeout(None)
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            channel = {"near": near, "far": far, "request": b"", "silent": False}
            for forward in (self._forward_requests, self._forward_responses):
                threading.Thread(target=forward, args=(channel,), daemon=True).start()

    def _forward_requests(self, channel) -> None:
        try:
            while True:
                data = channel["near"].recv(65536)
                if channel["silent"]:
                    return
                if not data:
                    break
                channel["request"] = data[:200]
                channel["far"].sendall(data)
        except OSError:
            pass
        self._close(channel)

    def _forward_responses(self, channel) -> None:
        try:
            while True:
                data = channel["far"].recv(1 << 20)
                if not data:
                    break
                passed = self._silence(channel, data)
                if passed is not None:
                    channel["near"].sendall(data[:passed])
                    return  # the channel stays open and nothing more passes
                channel["near"].sendall(data)
        except OSError:
            pass
        self._close(channel)

    def _silence(self, channel, data):
        """The bytes that still pass if the channel goes silent now; None if it does not."""
        with self._lock:
            if self._armed is None:
                return None
            request, passed = self._armed
            if not channel["request"].startswith(request) or len(data) <= passed:
                return None
            self._armed = None
            channel["silent"] = True
        self._record.add("an open channel went silent", machine=self._name,
                         request=channel["request"].split(b"\r\n")[0].decode(),
                         responseBytes=len(data), passedBytes=passed)
        self.silent.set()
        return passed

    @staticmethod
    def _close(channel) -> None:
        if channel["silent"]:
            return
        for end in (channel["near"], channel["far"]):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()
