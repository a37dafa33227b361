package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects on a page of a list.
const pageSize = 500

// objectStore is a stand-in for the platform's store as PROTOCOL.md describes it: one
// revision counter, lists in pages, watches, conditional writes. It is always available.
type objectStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []change
	changed  chan struct{}
	server   *http.Server
	address  string
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newObjectStore() (*objectStore, error) {
	s := &objectStore{revision: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *objectStore) close() { _ = s.server.Close() }

// put writes the spec of an object and returns its revision. A put that changes nothing
// makes no revision.
func (s *objectStore) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data)
}

func (s *objectStore) write(kind, name string, spec json.RawMessage) uint64 {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(spec) {
		return o.Meta.Revision
	}
	s.revision++
	if !ok {
		o = &object{Meta: meta{Name: name, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("{}")}
		s.objects[kind][name] = o
	}
	o.Spec, o.Meta.Revision = spec, s.revision
	s.notify(change{kind: kind, Object: *o})
	return s.revision
}

func (s *objectStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.notify(change{kind: kind, Object: *o, Deleted: true})
}

func (s *objectStore) notify(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls that entry hosts make: lists, watches, reads and creates.
func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire.ObjectsPath), "/")
	w.Header().Set("Content-Type", "application/json")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodPost:
		s.create(w, r, kind)
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case name != "":
		s.mu.Lock()
		defer s.mu.Unlock()
		if o, ok := s.objects[kind][name]; ok {
			_ = json.NewEncoder(w).Encode(o)
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
	case q.Has("watch"):
		after, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.watch(w, r, kind, after, time.Duration(min(wait, 30_000))*time.Millisecond)
	default:
		s.list(w, kind, q.Get("after"))
	}
}

func (s *objectStore) create(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[kind][o.Meta.Name]; ok {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(old)
		return
	}
	s.write(kind, o.Meta.Name, o.Spec)
	_ = json.NewEncoder(w).Encode(s.objects[kind][o.Meta.Name])
}

func (s *objectStore) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	items := []*object{}
	for _, n := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][n])
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": len(names) > pageSize, "as-of": s.revision})
}

func (s *objectStore) watch(w http.ResponseWriter, r *http.Request, kind string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Meta.Revision > after {
				events = append(events, c)
			}
		}
		if len(events) > 0 || expired {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as-of": s.revision})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
