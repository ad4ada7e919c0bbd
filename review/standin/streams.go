package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// streamResult is what a client got for one attempt.
type streamResult struct {
	status     int
	retryAfter time.Duration
	events     int
	complete   bool
	err        error
}

// ask sends one streaming request on a connection of its own and reads its events.
func ask(ctx context.Context, g *gateway, id, model string, outTokens int, prefix string) streamResult {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: 15 * time.Second}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+counterPath+"2f", strings.NewReader(strings.Repeat("x", 1700)))
	if err != nil {
		unable("%v", err)
	}
	request.Host = host
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "15000", "Model": model, "Token-Usage": fmt.Sprintf("826,%d", outTokens), "Prompt-Prefix": prefix,
	} {
		request.Header.Set(name, value)
	}
	record("client of %s sends %s, model %s", g.name, id, model)
	response, err := client.Do(request)
	if err != nil {
		record("client gets no answer to %s: %v", id, err)
		return streamResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	result := streamResult{status: response.StatusCode}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	result.retryAfter = time.Duration(seconds * float64(time.Second))
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			result.events++
		}
	}
	result.err = lines.Err()
	result.complete = result.err == nil && result.status == http.StatusOK && result.events == outTokens/5
	record("client of %s gets %d to %s, %d events, complete %t, error %v", g.name, result.status, id, result.events, result.complete, result.err)
	return result
}
