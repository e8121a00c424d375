"""The faults of a run, registered by name."""

from collections.abc import Callable

from wagtailpaddle_config import IssueKey, PublishBase, PutAccount, WithdrawKey
from wagtailpaddle_core import AccountId, KeyId, Registry, ServerId

from wagtailpaddle_standins.fakes.fabric import NetworkFaults
from wagtailpaddle_standins.soak.world import ACCOUNTS, N_SERVERS, RATES, Host, World

Fault = Callable[[World], None]
FAULTS: Registry[Fault] = Registry("fault")

SERVER_MODES = ("down", "shed", "hang", "close", "gray", "slow", "")
REPLACE_AFTER_S = 2.0
MAX_SECRETS = 3


def _any_host(world: World) -> Host | None:
    hosts = [host for host in world.live() if not host.stopping]
    return world.random.choice(hosts) if len(hosts) > 2 else None


def _restart_later(world: World, place: str, delay_s: float) -> None:
    def start() -> None:
        if world.hosts[place].process.alive:
            world.fabric.at(world.fabric.now + 0.5, start)
        else:
            world.start(place)

    world.fabric.at(world.fabric.now + delay_s, start)


def set_platform(world: World, *, is_up: bool) -> None:
    """Make the log and the list of VMs unavailable, or restore both."""
    world.platform.is_up = is_up
    world.platform.list_is_up = is_up


@FAULTS.register("kill")
def kill(world: World) -> None:
    """Kill a daemon and start another in its place after 0.5 s to 8 s."""
    host = _any_host(world)
    if host is not None:
        world.kill(host.process.place)
        _restart_later(world, host.process.place, world.random.uniform(0.5, 8.0))


@FAULTS.register("replace")
def replace(world: World) -> None:
    """Stop a daemon gracefully and start another in its place."""
    host = _any_host(world)
    if host is not None:
        world.stop(host.process.place)
        _restart_later(world, host.process.place, REPLACE_AFTER_S)


@FAULTS.register("pause")
def pause(world: World) -> None:
    """Suspend a process for 0.5 s to 15 s."""
    host = _any_host(world)
    if host is not None:
        length_s = world.random.choice((0.5, 2.0, 6.0, 15.0))
        host.process.pause_until(world.fabric.now + length_s)


@FAULTS.register("cut one way")
def cut_one_way(world: World) -> None:
    """Drop all messages from one VM to another one or to the log."""
    source = world.random.choice(world.places)
    targets = [place for place in world.places if place != source]
    cut = (source, world.random.choice([*targets, "log"]))
    world.fabric.cuts.add(cut)
    heal_at = world.fabric.now + world.random.uniform(1.0, 15.0)
    world.fabric.at(heal_at, lambda: world.fabric.cuts.discard(cut))


@FAULTS.register("isolate")
def isolate(world: World) -> None:
    """Cut one VM off from its peers in both directions and from the log."""
    one = world.random.choice(world.places)
    others = [place for place in world.places if place != one]
    cuts = {(one, other) for other in [*others, "log"]}
    cuts |= {(other, one) for other in others}
    world.fabric.cuts |= cuts
    heal_at = world.fabric.now + world.random.uniform(2.0, 12.0)
    world.fabric.at(heal_at, lambda: world.fabric.cuts.difference_update(cuts))


@FAULTS.register("log outage")
def log_outage(world: World) -> None:
    """Make the log and the list of VMs unavailable for 2 s, 10 s or 40 s."""
    set_platform(world, is_up=False)
    back_at = world.fabric.now + world.random.choice((2.0, 10.0, 40.0))
    world.fabric.at(back_at, lambda: set_platform(world, is_up=True))


@FAULTS.register("lost answers")
def lost_answers(world: World) -> None:
    """Make half of the appends fail after they took effect."""
    world.platform.lost = 0.5
    world.fabric.at(
        world.fabric.now + 8.0, lambda: setattr(world.platform, "lost", 0.0)
    )


@FAULTS.register("bad network")
def bad_network(world: World) -> None:
    """Lose, delay and duplicate messages between VMs."""
    world.fabric.network_faults = NetworkFaults(slow=0.1, loss=0.1, duplicate=0.05)
    world.fabric.at(
        world.fabric.now + 8.0,
        lambda: setattr(world.fabric, "network_faults", NetworkFaults()),
    )


@FAULTS.register("server")
def change_server(world: World) -> None:
    """Set a random fault on a backend server, or clear its fault."""
    server = ServerId(f"s{world.random.randrange(N_SERVERS)}")
    world.servers.modes[server] = world.random.choice(SERVER_MODES)


@FAULTS.register("leaving server")
def leaving_server(world: World) -> None:
    """Publish a base in which exactly one server is leaving."""
    leaving = f"s{world.random.randrange(N_SERVERS)}"
    record_id = world.commit(PublishBase(world.document(leaving=frozenset({leaving}))))
    world.audit.leaving_at.clear()
    world.audit.base_record = record_id

    def accepted(now: float) -> None:
        if world.audit.base_record == record_id:
            world.audit.leaving_at[leaving] = now

    _when_accepted(world, record_id, accepted)


@FAULTS.register("withdraw")
def withdraw(world: World) -> None:
    """Withdraw a key and issue another one."""
    account = AccountId(world.random.choice(ACCOUNTS))
    hosts = world.live()
    keys = [
        key
        for host in hosts[:1]
        for key in host.node.configuration.keys.values()
        if key.account == account and not key.withdrawn
    ]
    if not keys:
        return
    key = world.random.choice(keys)
    if len(world.secrets[account]) > MAX_SECRETS:
        world.discard_secret(account, key.secret_hash)
    record_id = world.commit(WithdrawKey(key.id))
    world.issue(account)
    _when_accepted(
        world,
        record_id,
        lambda now: world.audit.withdrawn_at.update({key.secret_hash: now}),
    )


@FAULTS.register("race")
def race(world: World) -> None:
    """Issue the same key id twice, as two concurrent operators would."""
    account = AccountId(world.random.choice(ACCOUNTS))
    for attempt in range(2):
        world.commit(IssueKey(KeyId("raced"), account, f"hash-{attempt}"))


@FAULTS.register("rate")
def change_rate(world: World) -> None:
    """Change the rate of an account; the larger rate applies while it propagates."""
    account = AccountId(world.random.choice(ACCOUNTS))
    rate, burst = RATES[account]
    factor = world.random.choice((0.5, 1.0, 2.0))
    fields = {"rate": rate * factor, "burst": burst * factor}
    record_id = world.commit(PutAccount(account, fields))
    audit = world.rates[account]
    if factor > audit_factor(world, account):
        audit.change(world.fabric.now, rate * factor, burst * factor)
        return
    _when_accepted(
        world,
        record_id,
        lambda now: audit.change(now, rate * factor, burst * factor),
    )


def audit_factor(world: World, account: AccountId) -> float:
    """Return the ratio of the audited rate to the configured one."""
    return world.rates[account].current_rate / RATES[account][0]


def _when_accepted(world: World, record_id: str, run: Callable[[float], None]) -> None:
    """Call ``run`` once a VM has seen a majority confirm the record."""

    def check() -> None:
        result = world.result_of(record_id)
        if result is not None:
            for host in world.live():
                if host.process.paused_until > world.fabric.now:
                    continue
                now = world.fabric.clock(host.process)
                world.carry_out(host, host.node.track_acceptance(now, result.offset))
                if host.node.control.membership.acceptance(result.offset).in_force:
                    run(world.fabric.now)
                    return
        world.fabric.at(world.fabric.now + 0.5, check)

    check()
