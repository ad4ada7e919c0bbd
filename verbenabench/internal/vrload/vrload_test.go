package vrload

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

func deployment(t *testing.T) *vrdeploy.Deployment {
	t.Helper()
	deployment, err := vrdeploy.ByName(vrdeploy.Shuyuan, vrdeploy.Size{})
	require.NoError(t, err)
	return deployment
}

// TestPlanRepeats guards against a plan that differs between runs with the same seed, and
// against a mix without calls of some rank.
func TestPlanRepeats(t *testing.T) {
	fleet := &deployment(t).Fleet
	options := Options{Fleet: fleet, Seed: 7, Rate: 50, Duration: 20 * time.Second, BurstEvery: 2 * time.Second, BurstSize: 10}
	plan := Plan(options)
	require.Equal(t, plan, Plan(options))
	options.Seed = 8
	require.NotEqual(t, plan, Plan(options))
	ranks := make(map[vrid.Rank]int)
	keys := make(map[vrid.IdempotencyKey]bool)
	bursts, numbers := 0, make(map[int]bool)
	for _, call := range plan {
		ranks[call.Rank]++
		numbers[call.Number] = true
		if call.Key != "" {
			require.False(t, keys[call.Key])
			keys[call.Key] = true
		}
		if call.Burst {
			bursts++
		}
		require.Positive(t, call.Deadline)
	}
	require.Len(t, ranks, vrid.RankCount)
	require.Len(t, numbers, len(plan))
	require.NotEmpty(t, keys)
	require.Zero(t, bursts%10)
	require.Positive(t, bursts)
}

// fakeDaemon responds like a daemon.
type fakeDaemon struct {
	// alter, if set, changes the text of generated answers.
	alter func(text string) string
	// refusal, if set, is the reason with which the daemon refuses every call.
	refusal vrwire.Reason
	// closeConnection closes the connection of every call without a response.
	closeConnection bool
	calls           atomic.Int32
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.calls.Add(1)
	w.Header().Set(vrwire.HeaderRequestID, "r1")
	if d.closeConnection {
		panic(http.ErrAbortHandler)
	}
	if d.refusal != "" {
		w.Header().Set("Content-Type", vrwire.ContentTypeProblem)
		w.WriteHeader(d.refusal.Status())
		fmt.Fprintf(w, `{"reason":%q,"ran":"no","notRun":true,"requestId":"r1"}`, d.refusal)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/v1/services/") {
		d.serveService(w, r)
		return
	}
	var body struct {
		Model     vrid.ModelID                     `json:"model"`
		MaxTokens int                              `json:"max_tokens"`
		Stream    bool                             `json:"stream"`
		Prompt    string                           `json:"prompt"`
		Messages  []struct{ Role, Content string } `json:"messages"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		panic(err)
	}
	for _, message := range body.Messages {
		body.Prompt += message.Role + ": " + message.Content + "\n"
	}
	text := vrstandin.Answer{Model: body.Model, Prompt: body.Prompt}.Text(body.MaxTokens)
	if d.alter != nil {
		text = d.alter(text)
	}
	if !body.Stream {
		fmt.Fprintf(w, `{"choices":[{"message":{"content":%q}}]}`, text)
		return
	}
	for _, token := range strings.SplitAfter(text, " ") {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", token)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (d *fakeDaemon) serveService(w http.ResponseWriter, r *http.Request) {
	if item, ok := strings.CutPrefix(r.URL.Path, "/v1/services/circles/stock/"); ok {
		fmt.Fprintf(w, `{"item":%q,"count":%d}`, item, vrstandin.StockOf(item).Count)
		return
	}
	body := make([]byte, r.ContentLength)
	if _, err := r.Body.Read(body); err != nil && len(body) == 0 {
		panic(err)
	}
	fmt.Fprintf(w, `{"key":%q,"digest":%q,"number":1}`, r.Header.Get(vrwire.HeaderIdempotencyKey), vrstandin.DigestOf(body))
}

// runCall sends one call to the first daemon, and its retries to the second one.
func runCall(t *testing.T, first, second *fakeDaemon, call Call) Result {
	t.Helper()
	daemons := make(map[vrid.DaemonID]string)
	for id, handler := range map[vrid.DaemonID]*fakeDaemon{"daemon-1": first, "daemon-2": second} {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		daemons[id] = strings.TrimPrefix(server.URL, "http://")
	}
	load := New(Options{Fleet: &deployment(t).Fleet, Daemons: daemons})
	call.Daemon = "daemon-1"
	load.Start(context.Background(), call)
	results := load.Wait()
	require.Len(t, results, 1)
	return results[0]
}

// TestAnswersAreChecked guards against a caller that accepts a truncated or duplicated answer,
// or the answer to another call.
func TestAnswersAreChecked(t *testing.T) {
	planner := NewPlanner(&deployment(t).Fleet, 1, nil)
	chat := planner.ForModel(planner.fleet.Models[0].ID, "")
	stream := chat
	chat.Stream, stream.Stream, chat.Chat, stream.Chat = false, true, true, true
	good := &fakeDaemon{}
	for _, call := range []Call{chat, stream, planner.Reserve(), planner.stockLookup()} {
		result := runCall(t, good, good, call)
		require.Equal(t, EndAnswered, result.Last().End, result.Last().Detail)
		require.Equal(t, vrid.RequestID("r1"), result.Last().Request)
	}
	alterations := map[string]func(string) string{
		"cut":     func(text string) string { return text[:len(text)-4] },
		"doubled": func(text string) string { return text + text },
		"foreign": func(string) string { return "0:00000000 " },
	}
	for name, alter := range alterations {
		altering := &fakeDaemon{alter: alter}
		require.Equal(t, EndWrong, runCall(t, altering, altering, chat).Last().End, name)
		require.Equal(t, EndWrong, runCall(t, altering, altering, stream).Last().End, name)
	}
}

// TestRetries guards against an HTTP client that resends a call on its own, which the attempts
// wouldn't show, and against a caller that gives up after a broken connection.
func TestRetries(t *testing.T) {
	planner := NewPlanner(&deployment(t).Fleet, 1, nil)
	broken, good := &fakeDaemon{closeConnection: true}, &fakeDaemon{}
	result := runCall(t, broken, good, planner.Reserve())
	require.Equal(t, int32(1), broken.calls.Load())
	require.False(t, result.Attempts[0].Ended.IsZero())
	require.Equal(t, []End{EndBroken, EndAnswered}, []End{result.Attempts[0].End, result.Attempts[1].End})
	full := &fakeDaemon{refusal: vrwire.ReasonQueueFull}
	result = runCall(t, full, good, planner.Reserve())
	require.Len(t, result.Attempts, 1)
	require.Equal(t, EndRefused, result.Last().End)
	require.True(t, result.Last().Problem.NotRun)
}
