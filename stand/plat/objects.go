package plat

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ObjectStore is a stand-in for the object store of the users' platform. It holds
// named objects of several kinds, numbers changes with one revision counter, and
// serves paged lists and watches over HTTP. It is safe for concurrent use.
type ObjectStore struct {
	// PageSize is the maximum number of objects on a page of a list; 50 if zero. It
	// must be set before the store is used.
	PageSize int

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*storedObject
	history  []event
	// droppedRevision is the revision up to which the history was dropped.
	droppedRevision uint64
	errorStatus     int
	calls           map[string]int
	changed         chan struct{}
}

// storedObject is an object as sent to clients.
type storedObject struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	kind     string
	revision uint64
	Object   storedObject `json:"object"`
	Deleted  bool         `json:"deleted"`
}

// NewObjectStore returns an empty store.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{
		revision: 1, kinds: map[string]map[string]*storedObject{}, calls: map[string]int{}, changed: make(chan struct{}),
	}
}

// Put writes an object. The spec is not validated.
func (o *ObjectStore) Put(kind, name, spec string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.put(kind, name, json.RawMessage(spec))
}

func (o *ObjectStore) put(kind, name string, spec json.RawMessage) {
	if o.kinds[kind] == nil {
		o.kinds[kind] = map[string]*storedObject{}
	}
	s := &storedObject{Spec: spec}
	s.Meta.Name = name
	o.kinds[kind][name] = s
	o.appendEvent(kind, s, false)
}

// Remove deletes an object.
func (o *ObjectStore) Remove(kind, name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.kinds[kind][name]; ok {
		delete(o.kinds[kind], name)
		o.appendEvent(kind, s, true)
	}
}

func (o *ObjectStore) appendEvent(kind string, s *storedObject, deleted bool) {
	o.revision++
	s.Meta.Revision = o.revision
	o.history = append(o.history, event{kind: kind, revision: o.revision, Object: *s, Deleted: deleted})
	close(o.changed)
	o.changed = make(chan struct{})
}

// DropHistory drops all changes so far. Watches after an earlier revision fail with
// status 410 (Gone).
func (o *ObjectStore) DropHistory() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.droppedRevision, o.history = o.revision, nil
	close(o.changed)
	o.changed = make(chan struct{})
}

// SetErrorStatus makes every call fail with a status; zero ends the fault.
func (o *ObjectStore) SetErrorStatus(status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.errorStatus = status
	close(o.changed)
	o.changed = make(chan struct{})
}

// Calls returns the number of HTTP calls for a kind.
func (o *ObjectStore) Calls(kind string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls[kind]
}

// ServeHTTP serves creates, watches and lists.
func (o *ObjectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := strings.TrimPrefix(r.URL.Path, "/api/objects/")
	o.mu.Lock()
	status := o.errorStatus
	o.calls[kind]++
	o.mu.Unlock()
	switch {
	case status != 0:
		w.WriteHeader(status)
	case r.Method == http.MethodPost:
		o.create(w, r, kind)
	case r.URL.Query().Has("watch"):
		o.watch(w, r, kind)
	default:
		o.list(w, r.URL.Query().Get("after"), kind)
	}
}

func (o *ObjectStore) create(w http.ResponseWriter, r *http.Request, kind string) {
	var s storedObject
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, exists := o.kinds[kind][s.Meta.Name]; exists {
		w.WriteHeader(http.StatusConflict)
		return
	}
	o.put(kind, s.Meta.Name, s.Spec)
}

func (o *ObjectStore) list(w http.ResponseWriter, after, kind string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	pageSize := o.PageSize
	if pageSize == 0 {
		pageSize = 50
	}
	var names []string
	for n := range o.kinds[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	items := []*storedObject{}
	for _, n := range names[:min(pageSize, len(names))] {
		items = append(items, o.kinds[kind][n])
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "as-of": o.revision})
}

func (o *ObjectStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		o.mu.Lock()
		changed := o.changed
		if after < o.droppedRevision || o.errorStatus != 0 {
			status := max(o.errorStatus, http.StatusGone)
			o.mu.Unlock()
			w.WriteHeader(status)
			return
		}
		events := []event{}
		for _, e := range o.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		if len(events) > 0 || expired {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as-of": o.revision})
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
