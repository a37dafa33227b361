package wire

import (
	"time"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
	"toucanpulley.example/internal/spread"
)

// EncodeMember returns the message for a member.
func EncodeMember(m model.Member) *peer.Member {
	return &peer.Member{
		Host: string(m.Host.ID), PeerAddress: string(m.Host.Peer), EntryAddress: string(m.Host.Entry),
		FailureDomain: string(m.Host.FailureDomain), Region: string(m.Host.Region),
		Incarnation: m.Incarnation, State: peer.MemberState(m.State) + peer.MemberState_MEMBER_STATE_ALIVE, Ready: m.Ready,
		Capacity: uint32(m.Host.Capacity),
	}
}

// DecodeMember returns the member in a message. For an unknown state it returns
// the zero Member, which receivers ignore because it has no host.
func DecodeMember(m *peer.Member) model.Member {
	state := m.GetState() - peer.MemberState_MEMBER_STATE_ALIVE
	if state < 0 || state > peer.MemberState(model.MemberLeft) {
		return model.Member{}
	}
	return model.Member{
		Host: model.Host{
			ID: model.HostID(m.GetHost()), Peer: model.Address(m.GetPeerAddress()), Entry: model.Address(m.GetEntryAddress()),
			FailureDomain: model.FailureDomain(m.GetFailureDomain()), Region: model.Region(m.GetRegion()),
			Capacity: int(m.GetCapacity()),
		},
		Incarnation: m.GetIncarnation(), State: model.MemberState(state), Ready: m.GetReady(),
	}
}

// EncodeMembers returns the messages for members.
func EncodeMembers(list []model.Member) []*peer.Member {
	out := make([]*peer.Member, 0, len(list))
	for _, m := range list {
		out = append(out, EncodeMember(m))
	}
	return out
}

// DecodeMembers returns the members in messages.
func DecodeMembers(list []*peer.Member) []model.Member {
	out := make([]model.Member, 0, len(list))
	for _, m := range list {
		out = append(out, DecodeMember(m))
	}
	return out
}

// EncodeDigest returns the message for a digest.
func EncodeDigest(d spread.Digest) *peer.Digest {
	return &peer.Digest{
		SettingsRevision: uint64(d.Revision), IndexVersion: d.IndexVersion, LeavingStamp: d.LeavingStamp,
		PlatformAgeMs: d.PlatformAge, SettingsAgeMs: d.SettingsAge, Ready: d.Ready,
		FleetAgeMs: d.FleetAge,
	}
}

// DecodeDigest returns the digest in a message. A nil message has unknown ages.
func DecodeDigest(m *peer.Digest) spread.Digest {
	d := spread.Digest{
		Revision: model.Revision(m.GetSettingsRevision()), IndexVersion: m.GetIndexVersion(), LeavingStamp: m.GetLeavingStamp(),
		PlatformAge: m.GetPlatformAgeMs(), SettingsAge: m.GetSettingsAgeMs(), Ready: m.GetReady(),
		FleetAge: m.GetFleetAgeMs(),
	}
	if m == nil {
		d.PlatformAge, d.SettingsAge, d.FleetAge = -1, -1, -1
	}
	return d
}

// EncodeGossip returns the message for the gossip of a probe or push.
func EncodeGossip(g ctrl.Gossip) *peer.Gossip {
	m := &peer.Gossip{
		Sender: EncodeMember(g.Sender), Digest: EncodeDigest(g.Digest), MemberHash: g.Hash,
		Changes: EncodeMembers(g.Changes),
	}
	for _, q := range g.Quarantine {
		m.Quarantine = append(m.Quarantine, &peer.Quarantine{
			Fingerprint: uint64(q.Fingerprint), Reporter: q.Reporter, Losses: uint32(q.Losses), Survivals: uint32(q.Survivals),
			LeftMs: q.TTL.Milliseconds(),
		})
	}
	return m
}

// DecodeGossip returns the gossip in a probe or push.
func DecodeGossip(m *peer.Gossip) ctrl.Gossip {
	g := ctrl.Gossip{
		Sender: DecodeMember(m.GetSender()), Digest: DecodeDigest(m.GetDigest()), Hash: m.GetMemberHash(),
		Changes: DecodeMembers(m.GetChanges()),
	}
	for _, q := range m.GetQuarantine() {
		g.Quarantine = append(g.Quarantine, ctrl.Quarantine{
			Fingerprint: model.Fingerprint(q.GetFingerprint()), Reporter: q.GetReporter(), Losses: int(q.GetLosses()),
			Survivals: int(q.GetSurvivals()), TTL: time.Duration(q.GetLeftMs()) * time.Millisecond,
		})
	}
	return g
}

// EncodeObjects returns the messages for objects.
func EncodeObjects(list []spread.Object) []*peer.Object {
	out := make([]*peer.Object, 0, len(list))
	for _, o := range list {
		out = append(out, &peer.Object{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out
}

// DecodeObjects returns the objects in messages.
func DecodeObjects(list []*peer.Object) []spread.Object {
	out := make([]spread.Object, 0, len(list))
	for _, o := range list {
		out = append(out, spread.Object{Name: o.GetName(), Version: o.GetVersion(), Value: o.GetValue()})
	}
	return out
}

// EncodeLeaving returns the message for a list of leaving hosts and searchers.
func EncodeLeaving(l spread.LeavingList) *peer.Leaving {
	m := &peer.Leaving{Stamp: l.Stamp}
	for _, h := range l.Hosts {
		m.Hosts = append(m.Hosts, string(h))
	}
	for _, s := range l.Searchers {
		m.Searchers = append(m.Searchers, string(s))
	}
	return m
}

// DecodeLeaving returns the list of leaving hosts and searchers in a message.
func DecodeLeaving(m *peer.Leaving) spread.LeavingList {
	l := spread.LeavingList{Stamp: m.GetStamp()}
	for _, h := range m.GetHosts() {
		l.Hosts = append(l.Hosts, model.HostID(h))
	}
	for _, s := range m.GetSearchers() {
		l.Searchers = append(l.Searchers, model.SearcherID(s))
	}
	return l
}

// PullResponse returns the parts of a bundle that are newer than the versions in
// a pull request. If the request names segments, the response holds only these.
func PullResponse(b spread.Bundle, d spread.Digest, m *peer.PullRequest) *peer.PullResponse {
	r := &peer.PullResponse{Digest: EncodeDigest(d)}
	if len(m.GetWant()) > 0 {
		for _, name := range m.GetWant() {
			if value, ok := b.Segment(name); ok {
				r.Segments = append(r.Segments, &peer.Object{Name: name, Value: value})
			}
		}
		return r
	}
	if known := model.Revision(m.GetSettingsRevision()); b.Revision > known {
		r.Head = EncodeObjects([]spread.Object{b.Head})[0]
		r.Segments = EncodeObjects(b.SegmentsSince(known))
	}
	r.Indexes = EncodeObjects(b.IndexesSince(m.GetIndexVersion()))
	if b.Leaving.Stamp > m.GetLeavingStamp() {
		r.Leaving = EncodeLeaving(b.Leaving)
	}
	return r
}
