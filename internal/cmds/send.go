package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"
	"google.golang.org/protobuf/encoding/protojson"

	"toucanpulley.example/internal/devel"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
)

// send sends a non-idempotent request through an entry host.
type send struct {
	console
	hostFlags
	account string
	service string
	key     string
	issued  int64
	timeout time.Duration
	json    bool
}

func newSend(c console) *send { return &send{console: c} }

func (*send) Name() string { return "send" }

func (*send) Synopsis() string { return "run a non-idempotent request at most once" }

func (*send) Usage() string {
	return `send -key KEY [flags] BODY:
  Runs a non-idempotent request at most once for its key. To learn the outcome
  of an earlier request, repeat it with the same key, -issued and BODY through
  any entry host. Exit status 3 if it may have run and the outcome is unknown.
  Example: toucanpulley send -service fair-ledger -key notice-17 'accepted: application 17'
`
}

func (s *send) SetFlags(f *flag.FlagSet) {
	s.setFlags(f, defaultAddress)
	f.StringVar(&s.account, "account", devel.Account, "client account")
	f.StringVar(&s.service, "service", "fair-ledger", "service")
	f.StringVar(&s.key, "key", "", "idempotency key, 1 to 128 bytes")
	f.Int64Var(&s.issued, "issued", 0, "time of issue of the key in milliseconds since the Unix epoch; now if 0")
	f.DurationVar(&s.timeout, "timeout", 0, "time budget; the service's default if 0")
	f.BoolVar(&s.json, "json", false, "print the answer as JSON")
}

func (s *send) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s.key == "" || f.NArg() != 1 {
		return s.failUsage("send: -key and one BODY are required")
	}
	if s.issued == 0 {
		s.issued = time.Now().UnixMilli()
	}
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }})
	r, err := s.entryClient().Send(ctx, connect.NewRequest(&entry.SendRequest{
		Account: s.account, Service: s.service, Key: s.key, KeyIssuedMs: s.issued,
		Body: []byte(f.Arg(0)), TimeoutMs: uint32(s.timeout.Milliseconds()),
	}))
	if err != nil {
		return s.reportFailure(err, written.Load())
	}
	return s.print(r.Msg)
}

func (s *send) print(m *entry.SendResponse) subcommands.ExitStatus {
	if s.json {
		b, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return s.fail(err)
		}
		s.printf("%s\n", b)
		return exitOK
	}
	repeated := ""
	if m.GetRepeated() {
		repeated = " (recorded by an earlier request)"
	}
	s.printf("%s\n\nkey %s issued %d: ran%s; settings revision %d, host %s\n",
		m.GetResult(), s.key, s.issued, repeated, m.GetSettingsRevision(), m.GetHost())
	return exitOK
}

// sendFailure is the JSON form of a failed request.
type sendFailure struct {
	Key         string `json:"key"`
	KeyIssuedMs int64  `json:"keyIssuedMs"`
	// Reason is empty if the entry host returned no refusal.
	Reason    string `json:"reason"`
	Execution string `json:"execution"`
	Detail    string `json:"detail"`
}

// reportFailure prints the failure of a request and returns the exit status. Without a
// refusal by the entry host, the request is known not to have run only if its headers
// were not written.
func (s *send) reportFailure(err error, written bool) subcommands.ExitStatus {
	failure := sendFailure{Key: s.key, KeyIssuedMs: s.issued, Execution: model.MayHaveRun.String(), Detail: err.Error()}
	status := exitUnknown
	r, refused := wire.RefusalOf(err)
	if refused {
		failure.Reason, failure.Execution = string(r.Reason), r.Execution.String()
	}
	if (refused && r.Execution == model.NotRun) || (!refused && !written) {
		failure.Execution, status = model.NotRun.String(), exitFailed
	}
	if s.json {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		if err := e.Encode(failure); err != nil {
			return s.fail(err)
		}
		return status
	}
	_ = s.fail(fault.Wrap(err, "send", s.address))
	s.printf("key %s issued %d: %s\n", s.key, s.issued, failure.Execution)
	return status
}
