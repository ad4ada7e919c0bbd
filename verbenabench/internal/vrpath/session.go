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

// session is one daemon, one engine that holds a model, and a client for both.
type session struct {
	client    *http.Client
	callers   string
	operators string
	daemon    vrid.DaemonID
	fleet     *vrfleet.Fleet
	model     vrid.ModelID
	engine    string
}

var errNoEngine = errors.New("no engine holds the model after the first request")

const (
	prompt    = "List three questions about the second chapter."
	maxTokens = 4
	clients   = 256
)

func newSession(fleet *vrfleet.Fleet, daemon vrid.DaemonID, deployment *vrdeploy.Deployment) *session {
	return &session{
		client:    &http.Client{Transport: &http.Transport{MaxIdleConns: 2 * clients, MaxIdleConnsPerHost: clients}},
		callers:   "http://" + fleet.Ports[daemon].Callers,
		operators: fleet.Ports[daemon].Operators,
		daemon:    daemon,
		fleet:     fleet,
		model:     deployment.Fleet.Models[0].ID,
	}
}

// loadModel lets the daemon load the model and finds the engine that holds it.
func (s *session) loadModel(ctx context.Context) error {
	const tries = 50
	var err error
	for range tries {
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
		s.engine = "http://" + address
		if _, err := s.callEngine(ctx, 0); err == nil {
			return nil
		}
	}
	return errNoEngine
}

func (s *session) callEngine(ctx context.Context, index int) (times, error) {
	return s.call(ctx, s.engine+"/v1/generate", vrengine.GenerateRequest{
		RequestID: vrid.RequestID(fmt.Sprintf("direct-%d", index)), Model: s.model, Prompt: prompt, MaxTokens: maxTokens,
	})
}

func (s *session) callDaemon(ctx context.Context, stream bool) (times, error) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	return s.call(ctx, s.callers+"/v1/chat/completions", struct {
		Model     vrid.ModelID `json:"model"`
		Messages  []message    `json:"messages"`
		MaxTokens int          `json:"max_tokens"`
		Stream    bool         `json:"stream"`
	}{s.model, []message{{Role: "user", Content: prompt}}, maxTokens, stream})
}

// times of one call, from its start.
type times struct {
	first time.Duration
	total time.Duration
}

// call returns the times to the first byte and to the end of the body.
func (s *session) call(ctx context.Context, url string, body any) (times, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return times{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return times{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	start := time.Now()
	response, err := s.client.Do(request)
	if err != nil {
		return times{}, err
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		return times{}, err
	}
	took := times{first: time.Since(start)}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return times{}, err
	}
	if response.StatusCode != http.StatusOK {
		return times{}, fmt.Errorf("status %d", response.StatusCode)
	}
	took.total = time.Since(start)
	return took, nil
}

// process reads the daemon's own metrics; a failed reading leaves them zero.
func (s *session) process() vrscrape.Usage {
	usage, err := vrscrape.Read(s.client, s.operators)
	if err != nil {
		return vrscrape.Usage{}
	}
	return usage
}
