"""Sightings of all VMs, which every update to a follower carries.

They grow with the fleet, several times a second for each follower, so VMs that know
the same VMs leave the tags out.
"""

import pytest
from wagtailpaddle_core import VmId
from wagtailpaddle_peer.envelope import encode_envelope
from wagtailpaddle_replica import Member, Sightings, Update
from wagtailpaddle_replica.members import MEMBER_RETENTION_S, Members, tag_of

N_VMS = 300
BYTES_PER_VM = 3


def member(index):
    name = f"vm{index}"
    return Member(f"{name}/1", "a", f"{name}:80", name, "1")


@pytest.fixture
def know():
    """Return a function that makes the view of VM ``own`` of the first ``n_vms``."""

    def make(own, n_vms=N_VMS):
        members = Members(member(own))
        for index in range(n_vms):
            members.add(0.0, member(index))
        return members

    return make


def ages_of(members, now):
    found = members.sightings(now)
    return dict(zip(found.tags, found.ages_cs, strict=True))


def test_vms_that_know_the_same_vms_leave_the_tags_out(know):
    sender, receiver = know(0), know(1)
    sender.record_follower(5.0, member(7).id, Sightings())
    sent = sender.sightings(5.5, members_hash=receiver.hash)
    assert sent.tags == ()
    receiver.merge_sightings(5.5, sent)
    ages = ages_of(receiver, 5.5)
    assert ages[tag_of(member(7).id)] == 50
    assert ages[tag_of(member(0).id)] == 0
    assert ages[tag_of(member(8).id)] == 550


def test_sightings_with_and_without_tags_say_the_same(know):
    sender = know(0)
    sender.record_follower(5.0, member(7).id, Sightings())
    views = (know(1), know(1))
    for view, known_hash in zip(views, (0, sender.hash), strict=True):
        view.merge_sightings(9.0, sender.sightings(9.0, members_hash=known_hash))
    assert ages_of(views[0], 9.0) == ages_of(views[1], 9.0)


def test_vm_that_was_not_seen_for_long_is_not_seen_by_the_receiver(know):
    now = MEMBER_RETENTION_S + 1.0
    sender, receiver = know(0), know(1)
    receiver.merge_sightings(now, sender.sightings(now, members_hash=receiver.hash))
    assert set(ages_of(receiver, now)) == {tag_of(member(0).id), tag_of(member(1).id)}


def test_vms_that_know_other_vms_send_tags(know):
    sender, receiver = know(0), know(1, N_VMS - 1)
    sent = sender.sightings(1.0, members_hash=receiver.hash)
    assert len(sent.tags) == N_VMS
    receiver.merge_sightings(1.0, sent)
    assert ages_of(receiver, 1.0)[tag_of(member(0).id)] == 0


def test_sightings_for_another_set_of_vms_are_ignored(know):
    """The receiver learned of a VM after it had sent its hash."""
    sender, receiver = know(0), know(1)
    sent = sender.sightings(1.0, members_hash=receiver.hash)
    receiver.add(1.0, member(N_VMS))
    receiver.merge_sightings(1.0, sent)
    assert ages_of(receiver, 1.0)[tag_of(member(0).id)] == 100


def test_restarted_vm_changes_the_hash(know):
    members = know(0)
    before = members.hash
    members.add(1.0, Member("vm7/2", "a", "vm7:80", "vm7", "2"))
    assert members.hash != before


def test_update_grows_by_few_bytes_with_each_vm(know):
    sender, receiver = know(0), know(1)
    sightings = sender.sightings(1.0, members_hash=receiver.hash)
    update = Update(1.0, 0.1, 0.1, 0.1, sightings=sightings)
    size = encode_envelope(VmId("vm0/1"), update).ByteSize()
    assert size < BYTES_PER_VM * N_VMS
