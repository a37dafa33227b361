package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"toucanpulley.example/internal/devel"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/stand/shard"
)

const (
	// relayStartTimeout bounds the wait until a new site answers a search completely;
	// its hosts have the full state after 1 to 2 s.
	relayStartTimeout = 20 * time.Second
	// relayRetryDelay is the delay before a failed search is retried.
	relayRetryDelay = 100 * time.Millisecond
)

// runRelay runs a site of the users' platform until it is interrupted, or with -query
// until one search has been answered.
func (d *dev) runRelay(ctx context.Context) subcommands.ExitStatus {
	site := devel.NewRelaySite()
	site.Log = d.logger(d.logLevel)
	err := site.Run()
	switch {
	case err != nil:
	case d.query != "":
		err = d.queryRelay(ctx, site.EntryAddresses()[0])
	default:
		d.printf("entry hosts, with their metrics addresses:\n")
		for i, a := range site.EntryAddresses() {
			d.printf("  %s %s\n", a, site.MetricsAddresses()[i])
		}
		d.printf("try: toucanpulley status -metrics %s\n", site.MetricsAddresses()[0])
		d.printf("     curl -i -H 'Host: %s' http://%s/all/ajrak\n", shard.Host, site.EntryAddresses()[0])
		<-ctx.Done()
	}
	if err := errors.Join(err, site.Close()); err != nil {
		return d.fail(err)
	}
	return exitOK
}

// queryRelay sends one search and prints the response. It retries while the hosts are
// starting.
func (d *dev) queryRelay(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, relayStartTimeout)
	defer cancel()
	defer plainClient.CloseIdleConnections()
	for n := 1; ; n++ {
		response, err := shard.Send(ctx, plainClient, address, "/all/"+url.PathEscape(d.query), fmt.Sprint("dev-", n), false)
		if err == nil && response.StatusCode == http.StatusOK {
			defer func() { _ = response.Body.Close() }()
			return d.printResponse(response)
		}
		if err == nil {
			err = errors.New(response.Status)
			_ = response.Body.Close()
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(errors.Join(ctx.Err(), err), "search", address)
		case <-time.After(relayRetryDelay): // the hosts are still starting
		}
	}
}

// printResponse prints the status, the headers and the records of a response.
func (d *dev) printResponse(response *http.Response) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fault.Wrap(err, "read response", "")
	}
	d.printf("%s\n", response.Status)
	for _, k := range slices.Sorted(maps.Keys(response.Header)) {
		d.printf("%s: %s\n", k, strings.Join(response.Header[k], ", "))
	}
	for r := range slices.Chunk(body, shard.RecordBytes) {
		d.printf("%s\n", r)
	}
	return nil
}
