package load

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"toucanpulley.example/pkg/entry"
	"toucanpulley.example/stand/corpus"
)

// randomTerm returns a random term that matches the record.
func randomTerm(r corpus.Record, random *rand.Rand) *entry.Term {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(r.Fields)), func(n string) bool {
		return n == "id" || n == "service"
	})
	name := names[random.IntN(len(names))]
	words := strings.Fields(r.Fields[name])
	return &entry.Term{Field: name, Value: words[random.IntN(len(words))]}
}

// verify compares an answer with a scan of the records that its coverage lists as
// searched. It describes the first difference; empty if there is none.
func verify(a *entry.SearchResponse, m *entry.SearchRequest, records []corpus.Record) string {
	var want []string
	var covered uint64
	for _, r := range records {
		if !inAnyPart(r.ID, a.GetCoverage().GetSearched()) {
			continue
		}
		covered++
		if !slices.ContainsFunc(m.GetTerms(), func(t *entry.Term) bool { return !r.Matches(t.GetField(), t.GetValue()) }) {
			want = append(want, r.ID)
		}
	}
	c := a.GetCoverage()
	if c.GetTotalRecords() != uint64(len(records)) || c.GetSearchedRecords() != covered {
		return fmt.Sprintf("coverage reports %d of %d records searched, a scan finds %d of %d",
			c.GetSearchedRecords(), c.GetTotalRecords(), covered, len(records))
	}
	if a.GetMatches() != uint64(len(want)) {
		return fmt.Sprintf("%d matches, a scan finds %d", a.GetMatches(), len(want))
	}
	want = want[:min(len(want), int(m.GetLimit()))]
	got := make([]string, 0, len(a.GetHits()))
	for _, h := range a.GetHits() {
		got = append(got, h.GetRecordId())
	}
	if !slices.Equal(got, want) {
		return fmt.Sprintf("hits %v, a scan finds %v", got, want)
	}
	return ""
}

func inAnyPart(id string, parts []*entry.Part) bool {
	return slices.ContainsFunc(parts, func(p *entry.Part) bool {
		return p.GetFirstRecord() <= id && id <= p.GetLastRecord()
	})
}
