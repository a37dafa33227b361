// Package corpus generates sample records for the services of both client accounts
// from a seed, and reads and writes records as JSON lines.
//
// # Usage
//
//	records := corpus.Generate(1, 4000)
//	corpus.Write(file, records)
//	records, err := corpus.Read(file)
package corpus

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

// maxLineBytes is the maximum length of a line in a records file.
const maxLineBytes = 1 << 20

// Record is a searchable record: a flat set of fields, of which id and service are
// required.
type Record struct {
	ID      string
	Service string
	Fields  map[string]string
	// Source is the record encoded as JSON.
	Source []byte
}

// Matches reports whether a field of the record contains value as a
// whitespace-separated word, ignoring case.
func (r Record) Matches(field, value string) bool {
	return slices.Contains(strings.Fields(strings.ToLower(r.Fields[field])), strings.ToLower(value))
}

// kind describes the records of one service: the prefix of their ids and the possible
// values of each field.
type kind struct {
	service  string
	idPrefix string
	values   map[string][]string
}

var kinds = []kind{
	{service: "jury-desk", idPrefix: "portfolio", values: map[string][]string{
		"artisan": {"amina khatri", "bilal soomro", "chand bibi", "dilshad memon", "erum shah", "faiz junejo"},
		"craft":   {"ajrak", "block print", "pottery", "woodwork", "embroidery"},
		"fair":    {"karachi spring", "lahore winter", "peshawar lights", "multan open"},
		"status":  {"submitted", "shortlisted", "rejected", "on hold"},
	}},
	{service: "fair-ledger", idPrefix: "entry", values: map[string][]string{
		"artisan": {"amina khatri", "bilal soomro", "chand bibi", "dilshad memon", "erum shah", "faiz junejo"},
		"fair":    {"karachi spring", "lahore winter", "peshawar lights", "multan open"},
		"fee":     {"paid", "waived", "due"},
	}},
	{service: "inspect-desk", idPrefix: "inspection", values: map[string][]string{
		"building":  {"erie mill", "harbor hall", "duluth depot", "third ward loft", "union station"},
		"part":      {"smoke vent", "hatch actuator", "fusible link", "damper"},
		"result":    {"pass", "fail", "retest"},
		"inspector": {"j brzezinski", "m brzezinski", "t novak", "r larsen"},
	}},
	{service: "dispatch", idPrefix: "job", values: map[string][]string{
		"building": {"erie mill", "harbor hall", "duluth depot", "third ward loft", "union station"},
		"tech":     {"t novak", "r larsen", "s okafor", "l haas"},
		"state":    {"open", "done", "waiting parts"},
	}},
}

// extraKinds are generated only by GenerateFor, to keep the embedded sample small.
var extraKinds = []kind{
	{service: "hearing-room", idPrefix: "file", values: map[string][]string{
		"artisan": {"amina khatri", "bilal soomro", "chand bibi", "dilshad memon"},
		"dispute": {"late entry", "wrong craft", "copied design"},
	}},
	{service: "artisan-notify", idPrefix: "notice", values: map[string][]string{
		"artisan": {"amina khatri", "bilal soomro", "chand bibi", "dilshad memon"},
		"verdict": {"accepted", "declined", "waiting list"},
	}},
	{service: "partsroom", idPrefix: "part", values: map[string][]string{
		"part":  {"smoke vent", "hatch actuator", "fusible link", "damper"},
		"shelf": {"a one", "a two", "b one", "b two"},
	}},
	{service: "billing", idPrefix: "invoice", values: map[string][]string{
		"building": {"erie mill", "harbor hall", "duluth depot", "union station"},
		"state":    {"open", "paid", "overdue"},
	}},
}

// GenerateFor returns n records of one service for a seed, sorted by id. It returns
// an error if the service is unknown.
func GenerateFor(seed uint64, n int, service string) ([]Record, error) {
	all := append(slices.Clone(kinds), extraKinds...)
	i := slices.IndexFunc(all, func(k kind) bool { return k.service == service })
	if i < 0 {
		return nil, fmt.Errorf("unknown service %q", service)
	}
	random := rand.New(rand.NewPCG(seed, uint64(i)))
	records := make([]Record, 0, n)
	for j := range n {
		records = append(records, all[i].record(random, j))
	}
	return records, nil
}

// Generate returns n records for a seed, distributed evenly over the services and
// sorted by id within each. The result is deterministic.
func Generate(seed uint64, n int) []Record {
	random := rand.New(rand.NewPCG(seed, seed))
	records := make([]Record, 0, n)
	for i := range n {
		records = append(records, kinds[i%len(kinds)].record(random, i/len(kinds)))
	}
	return records
}

// record generates one record. Fields are drawn in the order of their names, which
// makes the result independent of the map's iteration order.
func (k kind) record(random *rand.Rand, number int) Record {
	fields := map[string]string{"id": fmt.Sprintf("%s-%06d", k.idPrefix, number), "service": k.service}
	for _, f := range slices.Sorted(maps.Keys(k.values)) {
		fields[f] = k.values[f][random.IntN(len(k.values[f]))]
	}
	return newRecord(fields)
}

func newRecord(fields map[string]string) Record {
	source, err := json.Marshal(fields)
	if err != nil {
		panic(err) // unreachable: a map of strings can always be encoded
	}
	return Record{ID: fields["id"], Service: fields["service"], Fields: fields, Source: source}
}

// Write writes records as JSON lines.
func Write(w io.Writer, records []Record) error {
	b := bufio.NewWriter(w)
	for _, r := range records {
		if _, err := b.Write(append(slices.Clone(r.Source), '\n')); err != nil {
			return fmt.Errorf("write record %s: %w", r.ID, err)
		}
	}
	return b.Flush()
}

// Read reads records from JSON lines. An error includes the line number.
func Read(r io.Reader) ([]Record, error) {
	var records []Record
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		var fields map[string]string
		if err := json.Unmarshal(lines.Bytes(), &fields); err != nil {
			return nil, fmt.Errorf("records line %d: %w", n, err)
		}
		if fields["id"] == "" || fields["service"] == "" {
			return nil, fmt.Errorf("records line %d: the fields id and service are required", n)
		}
		records = append(records, newRecord(fields))
	}
	return records, lines.Err()
}

// ByService groups records by service, each sorted by id.
func ByService(records []Record) map[string][]Record {
	groups := map[string][]Record{}
	for _, r := range records {
		groups[r.Service] = append(groups[r.Service], r)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	}
	return groups
}
