package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
)

// pollInterval is the time between two status polls of a host that does not have the
// revision in force yet.
const pollInterval = 50 * time.Millisecond

// hostRevision is the revision in force that an entry host reported.
type hostRevision struct {
	Host     string `json:"host,omitempty"`
	Address  string `json:"address"`
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"inForce"`
	Error    string `json:"error,omitempty"`
}

// String returns the line that is printed for the host.
func (h hostRevision) String() string {
	text := fmt.Sprintf("%s %s: revision %d", h.Address, h.Host, h.Revision)
	switch {
	case h.InForce:
		return text + " in force"
	case h.Error != "":
		return fmt.Sprintf("%s %s: NOT KNOWN TO BE IN FORCE: %s", h.Address, h.Host, h.Error)
	default:
		return text + ", NOT IN FORCE YET"
	}
}

// waitInForce waits until every entry host has the revision or a later one in force,
// and returns the last revision that each host reported.
func (c *changeCommand) waitInForce(ctx context.Context, revision uint64) ([]hostRevision, subcommands.ExitStatus) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	hosts, err := entryHosts(ctx, &c.hostFlags, c.address)
	if err != nil {
		return []hostRevision{{Address: c.address, Error: err.Error()}}, exitFailed
	}
	var polls sync.WaitGroup
	for i := range hosts {
		polls.Go(func() { hosts[i] = hosts[i].poll(ctx, &c.hostFlags, revision) })
	}
	polls.Wait()
	if slices.ContainsFunc(hosts, func(h hostRevision) bool { return !h.InForce }) {
		return hosts, exitFailed
	}
	return hosts, exitOK
}

// poll polls a host until it has the revision in force or the context ends.
func (h hostRevision) poll(ctx context.Context, flags *hostFlags, revision uint64) hostRevision {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		got, err := revisionAt(ctx, flags, h.Address)
		if err == nil {
			h.Revision, h.InForce, h.Error = got, got >= revision, ""
		} else if ctx.Err() == nil {
			h.Error = err.Error()
		}
		if h.InForce {
			return h
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return h
		}
	}
}

// revisionAt returns the revision in force on a host.
func revisionAt(ctx context.Context, flags *hostFlags, address string) (uint64, error) {
	r, err := flags.adminClient(address).GetSettings(ctx, connect.NewRequest(&entry.GetSettingsRequest{Path: "/", RevisionOnly: true}))
	if err != nil {
		return 0, err
	}
	return r.Msg.GetRevision(), nil
}

// entryHosts returns the host itself and the members in its membership table that have
// neither failed nor left.
func entryHosts(ctx context.Context, flags *hostFlags, address string) ([]hostRevision, error) {
	r, err := flags.adminClient(address).Status(ctx, connect.NewRequest(&entry.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	var doc wire.StatusDocument
	if err := json.Unmarshal(r.Msg.GetJson(), &doc); err != nil {
		return nil, fault.Wrap(err, "decode status", address)
	}
	hosts := map[string]hostRevision{address: {Host: doc.Host, Address: address}}
	for _, m := range doc.Members {
		if m.State != model.MemberFailed.String() && m.State != model.MemberLeft.String() {
			hosts[m.EntryAddress] = hostRevision{Host: m.Host, Address: m.EntryAddress}
		}
	}
	return slices.SortedFunc(maps.Values(hosts), func(a, b hostRevision) int {
		return strings.Compare(a.Address, b.Address)
	}), nil
}
