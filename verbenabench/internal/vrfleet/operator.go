package vrfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrquery"
)

// Command sends an operator's command to a daemon and returns once the command is accepted,
// without waiting until the change is in force. If the daemon rejects the command, the error
// wraps a *vrquery.Failure.
func (f *Fleet) Command(ctx context.Context, daemon vrid.DaemonID, text string) (*vrquery.CommandResponse, error) {
	return postJSON[vrquery.CommandResponse](ctx, f, daemon, vrquery.PathCommand, vrquery.CommandRequest{Command: text, NoWait: true})
}

// Query runs a query on a daemon. If the daemon rejects the query, the error wraps a
// *vrquery.Failure.
func (f *Fleet) Query(ctx context.Context, daemon vrid.DaemonID, text string) (*vrquery.Table, error) {
	return postJSON[vrquery.Table](ctx, f, daemon, vrquery.PathQuery, vrquery.QueryRequest{Query: text})
}

// postJSON posts a JSON request to a daemon's operator port and decodes the response. For a
// status other than 200, the error wraps the *vrquery.Failure decoded from the body.
func postJSON[T any](ctx context.Context, f *Fleet, daemon vrid.DaemonID, path string, payload any) (*T, error) {
	body, err := json.Marshal(payload)
	if err != nil {
		return nil, err
	}
	url := "http://" + f.Ports[daemon].Operators + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+vrdeploy.CommandToken)
	response, err := f.operatorClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		failure := &vrquery.Failure{}
		return nil, errors.Join(failure, decoder.Decode(failure))
	}
	result := new(T)
	return result, decoder.Decode(result)
}

// HeadConfig returns the current configuration, read from the platform's object store.
func (f *Fleet) HeadConfig() (*vrconfig.Fleet, error) {
	for _, item := range f.World.Platform.Objects(vrplatform.KeyConfigHead) {
		if item.Key != vrplatform.KeyConfigHead {
			continue
		}
		index, err := vrcodec.DecodeFleet(item.Value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", item.Key, err)
		}
		return index.Fleet, nil
	}
	return nil, &ProcessError{Problem: "the platform stores no head configuration"}
}
