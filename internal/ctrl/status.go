package ctrl

import (
	"cmp"
	"slices"

	"toucanpulley.example/internal/feed"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tick"
)

// StatusRequested asks a Relay for its state.
type StatusRequested struct {
	// Token is returned with the answer.
	Token uint64
}

// AnswerStatus is the answer to StatusAsked.
type AnswerStatus struct {
	Token  uint64
	Status Status
}

func (StatusRequested) event() {}
func (AnswerStatus) command()  {}

// Status is the state of a Relay.
type Status struct {
	// Digest summarizes what is believed, and how old it is.
	Digest feed.Digest
	// StoreUnavailable is set if the store does not answer this host, Follows if the host
	// reads the store by itself.
	StoreUnavailable bool
	FollowsStore     bool
	// Members is the membership table, by host, with this host in it.
	Members []model.Member
}

// answerStatus is the system that answers questions for the state.
func (w *Relay) answerStatus() {
	tick.Each(w.Inbox(), func(e StatusRequested) { w.Emit(AnswerStatus{e.Token, w.status()}) })
}

func (w *Relay) status() Status {
	s := Status{
		Digest: w.Feed.Digest(w.Now()), StoreUnavailable: w.Feed.StoreUnavailable(), FollowsStore: w.role.Watch, Members: w.Member.Members(),
	}
	slices.SortFunc(s.Members, func(a, b model.Member) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	return s
}
