// Package vrcaller is a client of the daemons' HTTP API for operators.
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
	// maxResponseBytes limits the size of a response body. The blocks of one writer and
	// hour take about 12 MB at design scale, and a third more as base64.
	maxResponseBytes = 256 << 20
)

// Options configures a Caller.
type Options struct {
	// Daemons are the base URLs of the daemons. If one can't be reached, the next is tried.
	Daemons []string
	// Token is the operator's bearer token. If it is empty, none is sent.
	Token string
	// CAFile is the path of a PEM file with the CA certificates that sign the daemons'
	// certificates. If it is empty, the CA certificates of the operating system are used.
	CAFile string
}

// Caller calls the operators' API of the first daemon that can be reached.
type Caller struct {
	options Options
	client  *http.Client
}

// UnreachableError reports that no daemon answered. Err is the error of the last call.
type UnreachableError struct {
	Daemons []string
	Err     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon answers (%s): %v", strings.Join(e.Daemons, ", "), e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// New returns a Caller. It reads the CA certificates but opens no connection.
func New(options Options) (*Caller, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if options.CAFile != "" {
		certificates, err := os.ReadFile(options.CAFile)
		if err != nil {
			return nil, fmt.Errorf("read CA certificates: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(certificates) {
			return nil, fmt.Errorf("CA file %s contains no certificate", options.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &Caller{options: options, client: &http.Client{Transport: transport, Timeout: callTimeout}}, nil
}

// Query runs a query and returns its result.
func (c *Caller) Query(ctx context.Context, query string) (*vrquery.Table, error) {
	return do[vrquery.Table](ctx, c, http.MethodPost, vrquery.PathQuery, vrquery.QueryRequest{Query: query})
}

// Command runs a command that changes the configuration.
func (c *Caller) Command(ctx context.Context, request vrquery.CommandRequest) (*vrquery.CommandResponse, error) {
	return do[vrquery.CommandResponse](ctx, c, http.MethodPost, vrquery.PathCommand, request)
}

// Configuration returns the configuration in force.
func (c *Caller) Configuration(ctx context.Context) (*vrconfig.Fleet, error) {
	return do[vrconfig.Fleet](ctx, c, http.MethodGet, vrquery.PathConfiguration, nil)
}

// BlockKeys returns the keys of the blocks of a zone and day, without the blocks' contents.
func (c *Caller) BlockKeys(ctx context.Context, zone vrid.ZoneID, day time.Time) ([]vrquery.RawBlock, error) {
	return c.blocks(ctx, url.Values{"zone": {string(zone)}, "day": {day.UTC().Format(time.DateOnly)}})
}

// Blocks returns the blocks of one writer and hour, which the prefix names.
func (c *Caller) Blocks(ctx context.Context, prefix string) ([]vrquery.RawBlock, error) {
	return c.blocks(ctx, url.Values{"prefix": {prefix}})
}

func (c *Caller) blocks(ctx context.Context, parameters url.Values) ([]vrquery.RawBlock, error) {
	response, err := do[vrquery.BlocksResponse](ctx, c, http.MethodGet, vrquery.PathBlocks+"?"+parameters.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return response.Blocks, nil
}

// Claims returns one page of the claims of a shard, starting after the given key.
func (c *Caller) Claims(ctx context.Context, shard int, after string) (*vrquery.ClaimsResponse, error) {
	parameters := url.Values{"shard": {strconv.Itoa(shard)}, "after": {after}}
	return do[vrquery.ClaimsResponse](ctx, c, http.MethodGet, vrquery.PathClaims+"?"+parameters.Encode(), nil)
}

// do calls the daemons in order until one answers. A call other than a GET that may have been sent
// is not sent to another daemon, since a command must not run twice.
func do[T any](ctx context.Context, c *Caller, method, path string, body any) (*T, error) {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	var lastErr error
	for _, daemon := range c.options.Daemons {
		result, err := send[T](ctx, c, method, strings.TrimSuffix(daemon, "/")+path, payload)
		var failure *vrquery.Failure
		if err == nil || errors.As(err, &failure) || !isDialError(err) && method != http.MethodGet {
			return result, err
		}
		lastErr = err
	}
	return nil, &UnreachableError{Daemons: c.options.Daemons, Err: lastErr}
}

// send makes one call and decodes the response.
func send[T any](ctx context.Context, c *Caller, method, requestURL string, payload []byte) (*T, error) {
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, decodeFailure(response, data)
	}
	result := new(T)
	if err := json.Unmarshal(data, result); err != nil {
		return nil, fmt.Errorf("decode response from %s: %w", requestURL, err)
	}
	return result, nil
}

// decodeFailure returns the failure in a response's body, or an unavailable failure if the body
// has none.
func decodeFailure(response *http.Response, data []byte) error {
	failure := &vrquery.Failure{}
	if json.Unmarshal(data, failure) != nil || failure.Kind == "" {
		return &vrquery.Failure{
			Kind:    vrquery.FailureUnavailable,
			Message: fmt.Sprintf("%s answered %s", response.Request.URL.Host, response.Status),
		}
	}
	return failure
}
