package ctrl

import (
	"cmp"
	"slices"

	"toucanpulley.example/internal/feed"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tick"
)

// StatusRequested requests the state of a Relay.
type StatusRequested struct {
	// Token is copied to the answer.
	Token uint64
}

// AnswerStatus answers a StatusRequested.
type AnswerStatus struct {
	Token  uint64
	Status Status
}

func (StatusRequested) event() {}
func (AnswerStatus) command()  {}

// Status is the state of a Relay.
type Status struct {
	// Digest summarizes the configuration and searchers, and their age.
	Digest feed.Digest
	// StoreUnavailable is set if this host's calls to the store fail, FollowsStore
	// if this host watches the store itself.
	StoreUnavailable bool
	FollowsStore     bool
	// Members is the membership table sorted by host, including this host.
	Members []model.Member
}

// answerStatus is the system that answers status requests.
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
