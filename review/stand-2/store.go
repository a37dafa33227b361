package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the number of objects in a page of a list.
	pageItems = 500
	// maxWatchWait bounds the wait of a watch.
	maxWatchWait = 30 * time.Second
)

// kindSearchers is the kind of the searchers' entries.
const kindSearchers = "servers"

// entry is what a searcher says of itself.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// encode returns the entry of a searcher that is no longer slow after its start.
func (e entry) encode() json.RawMessage {
	fields := map[string]any{}
	data, err := json.Marshal(e)
	if err == nil {
		err = json.Unmarshal(data, &fields)
	}
	fields[wire.WarmUpField] = 0
	fields["born"] = e.Born // an integer, not a float
	if err == nil {
		data, err = json.Marshal(fields)
	}
	if err != nil {
		panic(err)
	}
	return data
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put creates or replaces an object and returns its revision.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data)
}

// putEntry writes the entry of a searcher. The entry changes only if more than its
// sequence does.
func (s *store) putEntry(name string, e entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, known := s.objects[kindSearchers][name]; known {
		var old entry
		if err := json.Unmarshal(o.Spec, &old); err == nil {
			old.Sequence = e.Sequence
			if old == e {
				return
			}
		}
	}
	s.write(kindSearchers, name, e.encode())
}

// write stores an object. The caller must hold mu.
func (s *store) write(kind, name string, spec json.RawMessage) uint64 {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, known := s.objects[kind][name]
	if !known {
		o = object{Meta: objectMeta{Name: name, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("{}")}
	}
	o.Meta.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.record(change{kind: kind, revision: s.revision, Object: o})
	return s.revision
}

func (s *store) delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Meta.Revision = s.revision
	delete(s.objects[kind], name)
	s.record(change{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

// record appends to the history and wakes the watches. The caller must hold mu.
func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire.ObjectsPath), "/")
	switch {
	case !strings.HasPrefix(r.URL.Path, wire.ObjectsPath):
		http.NotFound(w, r)
	case r.Method == http.MethodPost && name == "":
		s.create(w, r, kind)
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			http.NotFound(w, r)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		http.Error(w, "not supported by this stand-in", http.StatusMethodNotAllowed)
	}
}

func (s *store) create(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &o)
	}
	if err != nil || o.Meta.Name == "" {
		http.Error(w, "bad object", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	existing, exists := s.objects[kind][o.Meta.Name]
	if !exists {
		s.write(kind, o.Meta.Name, o.Spec)
		existing = s.objects[kind][o.Meta.Name]
	}
	s.mu.Unlock()
	if exists {
		reply(w, http.StatusConflict, existing)
		return
	}
	reply(w, http.StatusOK, existing)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	more := len(names) > pageItems
	items := []object{}
	for _, n := range names[:min(len(names), pageItems)] {
		items = append(items, s.objects[kind][n])
	}
	asOf := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "as-of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timeout.Stop()
	for {
		events := []change{}
		s.mu.Lock()
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
