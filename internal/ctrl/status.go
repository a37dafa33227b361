package ctrl

import (
	"cmp"
	"slices"

	"toucanpulley.example/internal/feed"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tick"
)

// StatusAsked asks a Relay for its state.
type StatusAsked struct {
	// Token is returned with the answer.
	Token uint64
}

// StatusTold is the answer to StatusAsked.
type StatusTold struct {
	Token  uint64
	Status Status
}

func (StatusAsked) event()  {}
func (StatusTold) command() {}

// Status is the state of a Relay.
type Status struct {
	// Beliefs summarizes what is believed, and how old it is.
	Beliefs feed.Digest
	// StoreAway is set if the store does not answer this host, Follows if the host
	// reads the store by itself.
	StoreAway bool
	Follows   bool
	// Members is the membership table, by host, with this host in it.
	Members []model.Member
}

// answer is the system that answers questions for the state.
func (w *Relay) answer() {
	tick.Each(w.Inbox(), func(e StatusAsked) { w.Emit(StatusTold{e.Token, w.status()}) })
}

func (w *Relay) status() Status {
	s := Status{
		Beliefs: w.Feed.Digest(w.Now()), StoreAway: w.Feed.StoreUnavailable(), Follows: w.place.Watch, Members: w.Member.Members(),
	}
	slices.SortFunc(s.Members, func(a, b model.Member) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	return s
}
