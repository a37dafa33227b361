package ctrl_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/member"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
)

// relayNode drives the Relay of one host.
type relayNode struct {
	*ctrl.Relay
	view relay.View
	// pushed holds the pushes that are not yet delivered.
	pushed []ctrl.PushTo
}

func newRelayNode(id string) *relayNode {
	host := model.Host{ID: model.HostID(id), Peer: model.Address(id), Entry: model.Address(id), FailureDomain: "d1"}
	return &relayNode{Relay: ctrl.NewRelay(host, 1)}
}

func (n *relayNode) tick(at time.Time, events ...ctrl.Event) {
	for _, c := range n.Tick(at, events) {
		switch c := c.(type) {
		case ctrl.PublishRelay:
			n.view = c.View
		case ctrl.PushTo:
			n.pushed = append(n.pushed, c)
		}
	}
}

// deliver delivers the pushes of one host to another.
func (n *relayNode) deliver(at time.Time, to *relayNode) {
	for _, p := range n.pushed {
		to.tick(at, ctrl.Pushed{Gossip: p.Gossip})
	}
	n.pushed = nil
}

// newRelayPair returns two hosts that know each other.
func newRelayPair(at time.Time) (a, b *relayNode) {
	a, b = newRelayNode("a"), newRelayNode("b")
	a.tick(at)
	b.tick(at)
	a.tick(at, ctrl.Pushed{Gossip: ctrl.Gossip{Sender: b.Member.Self()}})
	b.tick(at, ctrl.Pushed{Gossip: ctrl.Gossip{Sender: a.Member.Self()}})
	a.pushed, b.pushed = nil, nil
	return a, b
}

// Guards against a request that crashes searchers but is a suspect only on the
// host that lost them, and against an entry whose expiry is extended by each host
// that receives it.
func TestSuspectsSpreadToPeers(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	a, b, c := newRelayNode("a"), newRelayNode("b"), newRelayNode("c")
	for _, n := range []*relayNode{a, b, c} {
		n.tick(at)
	}
	a.tick(at, ctrl.Pushed{Gossip: ctrl.Gossip{Sender: b.Member.Self()}}) // a and b know each other
	b.tick(at, ctrl.Pushed{Gossip: ctrl.Gossip{Sender: a.Member.Self()}})
	a.pushed = nil

	a.tick(at, ctrl.LossReported{Fingerprint: 7, Losses: 3})
	is.Equal(a.view.Suspects[7], relay.Suspect{Losses: 3, At: at})
	a.deliver(at, b)
	is.Equal(b.view.Suspects[7], relay.Suspect{Losses: 3, At: at})

	later := at.Add(5 * time.Second)
	b.pushed = nil
	b.tick(later, ctrl.Pushed{Gossip: ctrl.Gossip{Sender: c.Member.Self()}}, ctrl.LeaveRequested{})
	b.deliver(later, c)
	is.Equal(c.view.Suspects[7], relay.Suspect{Losses: 3, At: at}) // the time of the loss, not of the message

	b.tick(at.Add(11 * time.Minute))
	is.Equal(len(b.view.Suspects), 0) // expired
}

// Guards against hosts that each lose searchers to a request and never find out
// that together they have lost enough to refuse it, and against counting losses
// again that come back from peers.
func TestLossesOfAllHostsAddUp(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	a, b := newRelayPair(at)
	a.tick(at, ctrl.LossReported{Fingerprint: 7, Losses: 1})
	b.tick(at, ctrl.LossReported{Fingerprint: 7, Losses: 2})
	for range 3 {
		a.deliver(at, b)
		b.deliver(at, a)
	}
	is.Equal(a.view.Suspects[7].Losses, 3)
	is.Equal(b.view.Suspects[7].Losses, 3)
}

// Guards against refusing a harmless request on hosts that have not run it
// themselves after a searcher of another host survived it, and against a late
// message that brings the losses from before back.
func TestSurvivalClearsLossesOnAllHosts(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	a, b := newRelayPair(at)
	a.tick(at, ctrl.LossReported{Fingerprint: 7, Losses: 3})
	late := a.pushed
	a.deliver(at, b)
	is.Equal(b.view.Suspects[7].Losses, 3)
	b.tick(at, ctrl.SurvivalReported{Fingerprint: 7})
	b.deliver(at, a)
	is.Equal(len(a.view.Suspects), 0)
	for _, p := range late {
		b.tick(at, ctrl.Pushed{Gossip: p.Gossip})
	}
	is.Equal(len(b.view.Suspects), 0)
	a.tick(at, ctrl.LossReported{Fingerprint: 7, Losses: 1}) // counts anew
	a.deliver(at.Add(time.Second), b)
	is.Equal(b.view.Suspects[7].Losses, 1)
}

// Guards against a host that keeps the assumed number of hosts, and so a small part of
// connections and retry budget, because its peers were known from probes before one of
// them sent its members, and the list brought nothing new.
func TestJoinWithoutNewMembersIsPublished(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	a, b := newRelayPair(at)
	at = at.Add(time.Second) // the members count as complete
	a.tick(at)
	is.True(!a.view.Joined)
	a.tick(at, ctrl.MemberEvent{Event: member.MembersReceived{From: "b", Members: b.Member.Members()}})
	is.True(a.view.Joined)
	is.Equal(a.view.HostCount, 2)
}
