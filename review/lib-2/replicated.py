"""A service of three members with one log, of which `syncReplicas` replicas confirm each commit."""
import threading
import time

from standins import serve

PROMOTE_S = 0.3  # "Some hundred ms after that call, the named member leads the next term"


class Member:
    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.log = []  # (term, number, identifier of the write)
        self.is_up, self.is_deaf, self.is_paused = True, False, False
        self.connections = set()

    def position(self):
        return self.log[-1][:2] if self.log else (1, 0)


class Service:
    def __init__(self, name, members, sync_replicas, record):
        self.name, self.members, self.record = name, members, record
        self.sync_replicas = sync_replicas
        self.lock = threading.RLock()
        self.report = lambda member: None  # called when what a member says of itself has changed
        self.term, self.leader = 1, members[0]
        self.token = 0
        self.promotions = []  # time, member and the identifiers in its log when it began to lead
        for member in members:
            member.address = serve(lambda connection, member=member: self.handle(member, connection))
        threading.Thread(target=self.replicate_forever, daemon=True).start()

    def entry(self, member):
        role = "primary" if member is self.leader else "replica"
        return {"backend": self.name, "addr": member.address, "zone": member.zone, "version": "1", "slots": 3,
                "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1, "dbRole": role}

    def replicate(self):
        if self.leader.is_up:
            for member in self.members:
                if member is not self.leader and member.is_up and not member.is_deaf and not member.is_paused:
                    member.log = list(self.leader.log)

    def replicate_forever(self):
        while True:
            with self.lock:
                self.replicate()
            time.sleep(0.02)

    def commit(self, member, identifier):
        """Commits a write once enough replicas have received it; False if the member stops before."""
        with self.lock:
            term, number = self.term, member.position()[1] + 1
            member.log.append((term, number, identifier))
        while True:
            with self.lock:
                if not member.is_up or member is not self.leader:
                    return False
                self.replicate()
                holders = sum((term, number, identifier) in other.log for other in self.members if other is not member)
                if holders >= self.sync_replicas:
                    return True
            time.sleep(0.005)

    def set_up(self, member, is_up):
        with self.lock:
            member.is_up = is_up
            self.record.write("member %s is %s, log to %d.%d" % (member.name, "up" if is_up else "down", *member.position()))
            connections = list(member.connections)
        if not is_up:
            for connection in connections:
                try:
                    connection.shutdown(2)
                except OSError:
                    pass

    def promote(self, holder, token, body):
        named = [member for member in self.members if member.name == body["id"]]
        with self.lock:
            if token < self.token or not named or not named[0].is_up:
                return 409
            self.token = token
            self.record.write("%s promotes %s with token %d" % (holder, body["id"], token))
            if named[0] is not self.leader:
                threading.Timer(PROMOTE_S, self.lead, args=named).start()
        return 200

    def lead(self, member):
        with self.lock:
            self.term += 1
            self.leader = member
            self.promotions.append((time.monotonic(), member.name, {identifier for _, _, identifier in member.log}))
            for other in self.members:
                other.is_paused = False
                if other.is_up:
                    self.report(other)
            self.record.write("member %s leads term %d with its log to %d.%d" % (member.name, self.term, *member.position()))

    def handle(self, member, connection):
        if not member.is_up:
            return
        member.connections.add(connection)
        reader = connection.makefile("r", encoding="utf-8", newline="\r\n")
        state, pending = "I", None
        for line in reader:
            words = line.rstrip("\r\n").split(" ")
            answer = ""
            if words[0] == "BYE":
                break
            if words[0] == "QUERY":
                identifier, words = words[1], words[2:]
                if words[0] == "AFTER":
                    words = words[2:]
                done = "DONE %s\r\n" % ("-" if identifier == "-" else "sig-" + identifier)
                leads = member is self.leader
                if words[0] in ("STATUS", "PAUSE", "STEPDOWN", "RESUME"):
                    with self.lock:
                        if words[0] == "PAUSE" and int(words[1]) > self.term and not leads:
                            member.is_paused = True
                        if words[0] == "RESUME":
                            member.is_paused = False
                        term, number = member.position()
                        role = "primary" if leads else "replica"
                        self.record.write("member %s answers %s: log to %d.%d" % (member.name, " ".join(words), term, number))
                    answer = "ROW %s %d %d.%d %d 0 0 1\r\n" % (role, self.term, term, number, term) + done
                elif words[0] == "BEGIN" and len(words) == 1 and not leads or words[0] == "WRITE" and not leads:
                    answer = "ERROR READONLY %s\r\n" % member.name
                    state = "E" if state == "T" else state
                elif words[0] == "BEGIN":
                    state, pending, answer = "T", [], done
                elif words[0] == "ROLLBACK":
                    state, pending, answer = "I", None, done
                elif words[0] == "COMMIT":
                    if pending and not all(self.commit(member, one) for one in pending):
                        break
                    state, pending, answer = "I", None, done
                elif words[0] == "WRITE":
                    if state == "T":
                        pending.append(identifier)
                    elif not self.commit(member, identifier):
                        break
                    answer = done
                elif words[0] == "READ":
                    answer = "ROW row\r\n" + done
                else:
                    answer = done
            if not member.is_up:
                break
            connection.sendall((answer + "READY %s %d.%d\r\n" % (state, *member.position())).encode())
        member.connections.discard(connection)
