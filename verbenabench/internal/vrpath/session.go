package vrpath

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrfleet"
	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenabench/internal/vrscrape"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

// session is an HTTP client of one daemon and of one engine that has the model loaded.
type session struct {
	client    *http.Client
	callerURL string
	// operatorAddress is the address of the operators' endpoint, where metrics are scraped.
	operatorAddress string
	daemon          vrid.DaemonID
	fleet           *vrfleet.Fleet
	model           vrid.ModelID
	engineURL       string
}

var errNoEngine = errors.New("no engine has the model loaded after the first request")

const (
	prompt       = "List three questions about the second chapter."
	maxTokens    = 4
	maxIdleConns = 256 // per host
)

func newSession(fleet *vrfleet.Fleet, daemon vrid.DaemonID, deployment *vrdeploy.Deployment) *session {
	return &session{
		client:          &http.Client{Transport: &http.Transport{MaxIdleConns: 2 * maxIdleConns, MaxIdleConnsPerHost: maxIdleConns}},
		callerURL:       "http://" + fleet.Ports[daemon].Callers,
		operatorAddress: fleet.Ports[daemon].Operators,
		daemon:          daemon,
		fleet:           fleet,
		model:           deployment.Fleet.Models[0].ID,
	}
}

// loadModel makes the daemon load the model by calling it until a call succeeds, and finds
// the engine that has the model loaded.
func (s *session) loadModel(ctx context.Context) error {
	const maxAttempts = 50
	var err error
	for range maxAttempts {
		if _, err = s.callDaemon(ctx, false); err == nil {
			break
		}
		if pauseErr := vrpause.For(ctx, time.Second/10); pauseErr != nil {
			return pauseErr
		}
	}
	if err != nil {
		return err
	}
	for _, address := range s.fleet.World.Addresses.Servers {
		s.engineURL = "http://" + address
		if _, err := s.callEngine(ctx, 0); err == nil {
			return nil
		}
	}
	return errNoEngine
}

// callEngine calls the engine directly. index makes the request ID unique.
func (s *session) callEngine(ctx context.Context, index int) (callLatency, error) {
	return s.call(ctx, s.engineURL+"/v1/generate", vrengine.GenerateRequest{
		RequestID: vrid.RequestID(fmt.Sprintf("direct-%d", index)), Model: s.model, Prompt: prompt, MaxTokens: maxTokens,
	})
}

// callDaemon sends the same prompt to the daemon as a chat completion.
func (s *session) callDaemon(ctx context.Context, stream bool) (callLatency, error) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	return s.call(ctx, s.callerURL+"/v1/chat/completions", struct {
		Model     vrid.ModelID `json:"model"`
		Messages  []message    `json:"messages"`
		MaxTokens int          `json:"max_tokens"`
		Stream    bool         `json:"stream"`
	}{s.model, []message{{Role: "user", Content: prompt}}, maxTokens, stream})
}

// callLatency holds the latencies of one call, measured from its start.
type callLatency struct {
	firstByte time.Duration
	total     time.Duration
}

// call posts body as JSON and returns the times to the first byte and to the end of the
// response body.
func (s *session) call(ctx context.Context, url string, body any) (callLatency, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return callLatency{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return callLatency{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	start := time.Now()
	response, err := s.client.Do(request)
	if err != nil {
		return callLatency{}, err
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		return callLatency{}, err
	}
	latency := callLatency{firstByte: time.Since(start)}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return callLatency{}, err
	}
	if response.StatusCode != http.StatusOK {
		return callLatency{}, fmt.Errorf("unexpected HTTP status %d", response.StatusCode)
	}
	latency.total = time.Since(start)
	return latency, nil
}

// processUsage scrapes the daemon's process metrics. It returns the zero Usage if the
// scrape fails.
func (s *session) processUsage() vrscrape.Usage {
	usage, err := vrscrape.Read(s.client, s.operatorAddress)
	if err != nil {
		return vrscrape.Usage{}
	}
	return usage
}
