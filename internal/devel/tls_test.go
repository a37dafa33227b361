package devel

import (
	"context"
	"crypto/tls"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/pkg/entry"
	"toucanpulley.example/stand/corpus"
)

// Guards against a site that does not work with TLS on the path from callers to
// searchers, and against entry hosts that serve plain connections or clients
// that do not trust the site's root certificate.
func TestSiteWithTLS(t *testing.T) {
	is := is.New(t)
	records, err := corpus.Sample()
	is.NoErr(err)
	s := NewSite(records)
	s.Authority, err = certs.NewAuthority("site")
	is.NoErr(err)
	is.NoErr(s.Run(context.Background()))
	defer func() { _ = s.Close() }()
	transport := &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: s.Authority.Roots()}, ForceAttemptHTTP2: true,
	}
	defer transport.CloseIdleConnections()
	tlsClient := &http.Client{Transport: transport}
	for _, a := range s.EntryAddresses() {
		c := entry.NewEntryServiceClient(tlsClient, "https://"+a)
		r, err := c.Search(context.Background(), connect.NewRequest(&entry.SearchRequest{
			Account: Account, Service: sendService, Limit: 1, TimeoutMs: 10_000,
		}))
		is.NoErr(err)
		is.Equal(r.Msg.GetOutcome(), entry.Outcome_OUTCOME_COMPLETE)
		_, err = c.Send(context.Background(), connect.NewRequest(&entry.SendRequest{
			Account: Account, Service: sendService, Key: a, KeyIssuedMs: time.Now().UnixMilli(), TimeoutMs: 10_000,
		}))
		is.NoErr(err)
		is.True(!sendKeyed(a, "plain", time.Now(), nil, time.Second).ok)
		clientWithoutRoots := entry.NewEntryServiceClient(http.DefaultClient, "https://"+a)
		_, err = clientWithoutRoots.Addresses(context.Background(), connect.NewRequest(&entry.AddressesRequest{Service: sendService}))
		is.True(err != nil)
	}
}
