// Package vrcaller calls the operators' interface of a daemon.
package vrcaller

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquery"
)

const (
	callTimeout = time.Minute
	// maxAnswer bounds an answer: the blocks of one writer and hour are about 12 MB at
	// design scale, a third more as base64.
	maxAnswer = 256 << 20
)

// Options construct a Caller.
type Options struct {
	// Daemons are base URLs; the next is asked when one can't be reached.
	Daemons []string
	Token   string
	// Authority is a PEM file that signs the daemons' certificates; empty takes the
	// system's.
	Authority string
}

// Caller calls daemons.
type Caller struct {
	options Options
	client  *http.Client
}

// UnreachableError says that no daemon answered.
type UnreachableError struct {
	Daemons []string
	Err     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon answers (%s): %v", strings.Join(e.Daemons, ", "), e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// New returns a caller.
func New(options Options) (*Caller, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if options.Authority != "" {
		pem, err := os.ReadFile(options.Authority)
		if err != nil {
			return nil, fmt.Errorf("read authority: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("authority %s holds no certificate", options.Authority)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &Caller{options: options, client: &http.Client{Transport: transport, Timeout: callTimeout}}, nil
}

// Query asks for a table.
func (c *Caller) Query(ctx context.Context, query string) (*vrquery.Table, error) {
	return do[vrquery.Table](ctx, c, http.MethodPost, vrquery.PathQuery, vrquery.QueryRequest{Query: query})
}

// Command changes the configuration.
func (c *Caller) Command(ctx context.Context, call vrquery.CommandRequest) (*vrquery.CommandResponse, error) {
	return do[vrquery.CommandResponse](ctx, c, http.MethodPost, vrquery.PathCommand, call)
}

// Configuration returns the configuration in force.
func (c *Caller) Configuration(ctx context.Context) (*vrconfig.Fleet, error) {
	return do[vrconfig.Fleet](ctx, c, http.MethodGet, vrquery.PathConfiguration, nil)
}

// BlockKeys lists the keys of a zone's blocks of a day.
func (c *Caller) BlockKeys(ctx context.Context, zone vrid.ZoneID, day time.Time) ([]vrquery.RawBlock, error) {
	return c.blocks(ctx, url.Values{"zone": {string(zone)}, "day": {day.UTC().Format(time.DateOnly)}})
}

// Blocks returns the blocks of one writer and hour.
func (c *Caller) Blocks(ctx context.Context, prefix string) ([]vrquery.RawBlock, error) {
	return c.blocks(ctx, url.Values{"prefix": {prefix}})
}

func (c *Caller) blocks(ctx context.Context, parameters url.Values) ([]vrquery.RawBlock, error) {
	answer, err := do[vrquery.BlocksResponse](ctx, c, http.MethodGet, vrquery.PathBlocks+"?"+parameters.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return answer.Blocks, nil
}

// Claims returns the claims of a shard after a key, a part at a time.
func (c *Caller) Claims(ctx context.Context, shard int, after string) (*vrquery.ClaimsResponse, error) {
	parameters := url.Values{"shard": {strconv.Itoa(shard)}, "after": {after}}
	return do[vrquery.ClaimsResponse](ctx, c, http.MethodGet, vrquery.PathClaims+"?"+parameters.Encode(), nil)
}

// do calls the first daemon that can be reached. A call that was sent is not sent again
// to another daemon: a command must not be given twice.
func do[T any](ctx context.Context, c *Caller, method, path string, body any) (*T, error) {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	var last error
	for _, daemon := range c.options.Daemons {
		result, err := send[T](ctx, c, method, strings.TrimSuffix(daemon, "/")+path, payload)
		var failure *vrquery.Failure
		if err == nil || errors.As(err, &failure) || !isNotSent(err) && method != http.MethodGet {
			return result, err
		}
		last = err
	}
	return nil, &UnreachableError{Daemons: c.options.Daemons, Err: last}
}

func send[T any](ctx context.Context, c *Caller, method, address string, payload []byte) (*T, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		return nil, failureOf(answer, data)
	}
	result := new(T)
	if err := json.Unmarshal(data, result); err != nil {
		return nil, fmt.Errorf("answer of %s: %w", address, err)
	}
	return result, nil
}

func failureOf(answer *http.Response, data []byte) error {
	failure := &vrquery.Failure{}
	if json.Unmarshal(data, failure) != nil || failure.Kind == "" {
		return &vrquery.Failure{
			Kind:    vrquery.FailureUnavailable,
			Message: fmt.Sprintf("%s answered %s", answer.Request.URL.Host, answer.Status),
		}
	}
	return failure
}
