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

// Command gives an operator's command to a daemon and returns when it was accepted. A
// command that was not accepted is a *vrquery.Failure.
func (f *Fleet) Command(ctx context.Context, daemon vrid.DaemonID, text string) (*vrquery.CommandResponse, error) {
	return ask[vrquery.CommandResponse](ctx, f, daemon, vrquery.PathCommand, vrquery.CommandRequest{Command: text, NoWait: true})
}

// Query asks a daemon. A query that was not answered is a *vrquery.Failure.
func (f *Fleet) Query(ctx context.Context, daemon vrid.DaemonID, text string) (*vrquery.Table, error) {
	return ask[vrquery.Table](ctx, f, daemon, vrquery.PathQuery, vrquery.QueryRequest{Query: text})
}

// ask calls the operators' port of a daemon.
func ask[T any](ctx context.Context, f *Fleet, daemon vrid.DaemonID, path string, call any) (*T, error) {
	body, err := json.Marshal(call)
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
	response, err := f.operators.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		failure := &vrquery.Failure{}
		return nil, errors.Join(failure, decoder.Decode(failure))
	}
	answer := new(T)
	return answer, decoder.Decode(answer)
}

// Head returns the configuration at the head, as the platform holds it.
func (f *Fleet) Head() (*vrconfig.Fleet, error) {
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
	return nil, &ProcessError{Problem: "there is no configuration at the head"}
}
