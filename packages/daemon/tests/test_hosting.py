"""Closing a port while connections wait in the kernel's queue."""

import subprocess
import sys

SCRIPT = """
import socket
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from wagtailpaddle_daemon.loop import install

reactor = install()
from wagtailpaddle_daemon.reactor_util import stop_listening

class Answer(Protocol):
    def dataReceived(self, data):
        self.transport.write(b"answer")
        self.transport.loseConnection()

def begin():
    port = reactor.listenTCP(0, Factory.forProtocol(Answer), interface="127.0.0.1")
    waiting = [socket.create_connection(("127.0.0.1", port.getHost().port))
               for _ in range(20)]
    for sock in waiting:
        sock.sendall(b"request")
    stopped = Deferred.fromCoroutine(stop_listening(port))
    stopped.addCallback(lambda _: reactor.callLater(0.2, read, waiting))

def read(waiting):
    answers = []
    for sock in waiting:
        sock.settimeout(1.0)
        try:
            answers.append(sock.recv(100))
        except OSError as exc:
            answers.append(repr(exc))
    print(set(answers))
    reactor.stop()

reactor.callWhenRunning(begin)
reactor.run()
"""


def test_request_in_the_kernel_queue_is_answered_when_the_port_closes():
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT], capture_output=True, text=True, timeout=30
    )
    assert done.stdout.strip() == "{b'answer'}", done.stdout + done.stderr
