package model

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that cause the same work on a searcher.
type Fingerprint uint64

// Fingerprint returns the xxhash64 of service, scope and terms in sorted order.
// Account, limit and deadline are not part of it.
func (r Request) Fingerprint() Fingerprint {
	terms := slices.Clone(r.Terms)
	slices.SortFunc(terms, func(a, b Term) int {
		return cmp.Or(strings.Compare(a.Field, b.Field), strings.Compare(a.Value, b.Value))
	})
	d := xxhash.New()
	write := func(s string) {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	write(string(r.Service))
	write(string(r.Scope))
	for _, t := range terms {
		write(t.Field)
		write(t.Value)
	}
	return Fingerprint(d.Sum64())
}
