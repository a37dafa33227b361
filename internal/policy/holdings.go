package policy

import (
	"time"

	"toucanpulley.example/internal/table"
)

// minHoldTime counts as the least time held, so that holders of the same moment are
// ordered by amount.
const minHoldTime = time.Millisecond

// Holdings bounds an amount that many holders take together. If they take too much,
// those with the greatest product of amount and time held are revoked first, so that
// many large or long holders leave the short and small ones room. Pinned holders are
// never revoked.
type Holdings[K comparable] struct {
	// Limit bounds the amount of all holders. A holder of more than SmallAmount is
	// revoked beyond LargeLimit, which leaves the rest to small ones.
	Limit       int
	LargeLimit  int
	SmallAmount int

	holders *table.Table[K]
	holder  *table.Column[holder]
	total   int
}

// holder is the component of a holder.
type holder struct {
	amount int
	since  time.Time
	pinned bool
}

func (h holder) withAmount(amount int) holder {
	h.amount = amount
	return h
}

func (h holder) withPinned() holder {
	h.pinned = true
	return h
}

// weight returns the product of amount and time held.
func (h holder) weight(now time.Time) float64 {
	return float64(h.amount) * max(now.Sub(h.since), minHoldTime).Seconds()
}

// NewHoldings returns holdings without holders, of which all may take up to the limit,
// and those of more than smallAmount up to three quarters of it.
func NewHoldings[K comparable](limit, smallAmount int) *Holdings[K] {
	h := &Holdings[K]{Limit: limit, LargeLimit: limit / 4 * 3, SmallAmount: smallAmount, holders: table.New[K]()}
	h.holder = table.NewColumn[holder](h.holders)
	return h
}

// Total returns the amount of all holders.
func (h *Holdings[K]) Total() int { return h.total }

// Len returns the number of holders.
func (h *Holdings[K]) Len() int { return h.holders.Len() }

// Has reports whether a holder was added and neither removed nor revoked.
func (h *Holdings[K]) Has(key K) bool {
	_, ok := h.holders.Find(key)
	return ok
}

// Grow raises the amount of a holder, which it adds if needed, and returns the holders
// that are revoked for it. The holder itself may be among them.
func (h *Holdings[K]) Grow(key K, amount int, now time.Time) []K {
	id, added := h.holders.Add(key)
	if added {
		h.holder.Set(id, holder{since: now})
	}
	grown := h.holder.Get(id)
	h.holder.Set(id, grown.withAmount(grown.amount+amount))
	h.total += amount
	var revoked []K
	for h.Has(key) && h.total > h.limitOf(id) {
		victim, ok := h.heaviest(now)
		if !ok {
			victim = key // all others are pinned
		}
		h.Remove(victim)
		revoked = append(revoked, victim)
	}
	return revoked
}

// limitOf returns the limit that applies to a holder.
func (h *Holdings[K]) limitOf(id table.ID) int {
	if h.holder.Get(id).amount > h.SmallAmount {
		return h.LargeLimit
	}
	return h.Limit
}

// Revoke removes the heaviest holder that is not pinned.
func (h *Holdings[K]) Revoke(now time.Time) (K, bool) {
	key, ok := h.heaviest(now)
	if ok {
		h.Remove(key)
	}
	return key, ok
}

// heaviest returns the holder with the greatest weight that is not pinned.
func (h *Holdings[K]) heaviest(now time.Time) (key K, found bool) {
	greatest := 0.0
	for id := range h.holders.All() {
		c := h.holder.Get(id)
		if w := c.weight(now); !c.pinned && (!found || w > greatest) {
			key, greatest, found = h.holders.Key(id), w, true
		}
	}
	return key, found
}

// Pin excludes a holder from revocation. It reports false if the holder was revoked.
func (h *Holdings[K]) Pin(key K) bool {
	id, ok := h.holders.Find(key)
	if ok {
		h.holder.Set(id, h.holder.Get(id).withPinned())
	}
	return ok
}

// Unpin allows a holder to be revoked again and counts its time anew.
func (h *Holdings[K]) Unpin(key K, now time.Time) {
	if id, ok := h.holders.Find(key); ok {
		h.holder.Set(id, holder{amount: h.holder.Get(id).amount, since: now})
	}
}

// Restart sets the amount of a holder and counts its time anew; it is no longer pinned.
func (h *Holdings[K]) Restart(key K, amount int, now time.Time) {
	if id, ok := h.holders.Find(key); ok {
		h.total += amount - h.holder.Get(id).amount
		h.holder.Set(id, holder{amount: amount, since: now})
	}
}

// Remove removes a holder.
func (h *Holdings[K]) Remove(key K) {
	if id, ok := h.holders.Find(key); ok {
		h.total -= h.holder.Get(id).amount
		h.holders.Remove(id)
	}
}
