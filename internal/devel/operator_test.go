package devel

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
	"toucanpulley.example/stand/corpus"
)

// operatorClient returns an HTTP client that presents a certificate for name,
// issued by signer. If name is empty, the client presents no certificate.
func operatorClient(t *testing.T, s *Site, signer *certs.Authority, name string) *http.Client {
	t.Helper()
	config := &tls.Config{RootCAs: s.Authority.Roots()}
	if name != "" {
		m, err := signer.Issue(name)
		if err != nil {
			t.Fatal(err)
		}
		config.Certificates = []tls.Certificate{m.Certificate}
	}
	transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Guards against settings that can be changed by anyone except an operator,
// against a refusal that is not counted or does not state that nothing ran, and
// against searches that require a client certificate.
func TestOnlyOperatorsChangeSettingsWithTLS(t *testing.T) {
	is := is.New(t)
	records, err := corpus.Sample()
	is.NoErr(err)
	s := NewSite(records)
	s.Authority, err = certs.NewAuthority("site")
	is.NoErr(err)
	foreignAuthority, err := certs.NewAuthority("other")
	is.NoErr(err)
	is.NoErr(s.Run(context.Background()))
	defer func() { _ = s.Close() }()
	tests := []struct {
		name            string
		signer          *certs.Authority
		certificateName string
		ok              bool
	}{
		{"operator", s.Authority, Operator, true},
		{"no certificate", s.Authority, "", false},
		{"wrong authority", foreignAuthority, Operator, false},
		{"wrong name", s.Authority, string(s.hostID(0)), false},
	}
	for i, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h, base := operatorClient(t, s, tc.signer, tc.certificateName), "https://"+s.EntryAddresses()[0]
			before := s.Daemons()[0].Meter.Value("refusal", string(model.ReasonUnauthenticated))
			answer, err := entry.NewAdminServiceClient(h, base).ApplyChange(t.Context(), connect.NewRequest(&entry.ApplyChangeRequest{
				ChangeId: fmt.Sprintf("change-%d", i), Author: "test", Reason: "test", BaseRevision: uint64(s.Daemons()[0].View().Revision),
				Edits: []*entry.Edit{{
					Action: entry.EditAction_EDIT_ACTION_SET, Path: "/" + Account, Key: "weight", Value: "2",
				}},
			}))
			refused := s.Daemons()[0].Meter.Value("refusal", string(model.ReasonUnauthenticated)) - before
			_, searchErr := entry.NewEntryServiceClient(h, base).Search(t.Context(), connect.NewRequest(&entry.SearchRequest{
				Account: Account, Service: sendService, Limit: 1, TimeoutMs: 10_000,
			}))
			is.NoErr(searchErr) // callers need no certificate
			if tc.ok {
				is.NoErr(err)
				is.Equal(answer.Msg.GetState(), entry.ChangeState_CHANGE_STATE_ACCEPTED)
				is.Equal(refused, int64(0))
				return
			}
			var ce *connect.Error
			is.True(errors.As(err, &ce))
			is.Equal(ce.Code(), connect.CodeUnauthenticated)
			refusal, ok := wire.RefusalOf(err)
			is.True(ok)
			is.Equal(refusal.Reason, model.ReasonUnauthenticated)
			is.Equal(refusal.Execution, model.NotRun)
			is.Equal(refused, int64(1))
		})
	}
	object, err := s.Platform().Get(t.Context(), "settings/head")
	is.NoErr(err)
	var head wire.HeadDocument
	is.NoErr(json.Unmarshal(object.Value, &head))
	is.Equal(head.Revision, uint64(2)) // the initial settings and the operator's change
}
