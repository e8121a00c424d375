"""The demo: a small system on loopback serves a few client accounts."""

from collections import Counter

from wagtailpaddle_standins.system import System

N_REQUESTS = 60


def main() -> int:
    """Run the demo; return 0 if every promise that it checks held."""
    with System() as system:
        system.publish(system.base_document())
        counts: Counter[tuple[str, int]] = Counter()
        secrets = {}
        for number in range(8):
            account = f"account-{number}"
            reply = system.operator(0).send("POST", f"/v1/accounts/{account}/keys", {})
            secrets[account] = reply.json()["secret"]
        for index in range(len(system.daemons)):
            system.wait_for_revision(index, 1 + len(secrets))
        for account, secret in secrets.items():
            for index in range(N_REQUESTS):
                caller = system.caller(index % len(system.daemons), secret)
                method, path = ("GET", "/catalogue/x")
                if index % 3 == 0:
                    method, path = ("POST", "/deliveries")
                body = b"one bed" if method == "POST" else None
                counts[account, caller.request(method, path, body).status] += 1
                caller.close()
    print("client account   status  answers")
    for (account, status), number in sorted(counts.items()):
        print(f"{account:<15}  {status:>6}  {number:>7}")
    return 0 if counts and all(status == 200 for _, status in counts) else 1


if __name__ == "__main__":
    raise SystemExit(main())
