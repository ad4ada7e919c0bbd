package vrclient_test

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"verbenaroute.example/verbenacore/vrclient"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// The library's cleaner ends when it finds no connection, at most 10 s later.
		goleak.IgnoreTopFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// listen runs a server on loopback until the test ends.
func listen(t testing.TB, handle func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var running sync.WaitGroup
	var mu sync.Mutex
	conns := make(map[net.Conn]bool)
	running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns[conn] = true
			mu.Unlock()
			running.Go(func() {
				defer func() { _ = conn.Close() }()
				handle(conn)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		mu.Lock()
		for conn := range conns {
			_ = conn.Close()
		}
		mu.Unlock()
		running.Wait()
	})
	return listener.Addr().String()
}

// serve runs an HTTP server.
func serve(t testing.TB, handler fasthttp.RequestHandler) string {
	server := &fasthttp.Server{Handler: handler, StreamRequestBody: false, NoDefaultServerHeader: true}
	return listen(t, func(conn net.Conn) { _ = server.ServeConn(conn) })
}

// refusedAddress is an address on which nothing listens.
func refusedAddress(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// pipeDial gives each connection to handle; pipes make virtual time possible.
func pipeDial(handle func(net.Conn)) vrclient.DialFunc {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			handle(server)
		}()
		return client, nil
	}
}

// store is a platform with faults.
type store struct {
	mu       sync.Mutex
	revision uint64
	values   map[string][]byte
	versions map[string]uint64
	requests int
	// fault, if set, may answer in place of the store and says whether it did. It runs
	// before the store when applied is false and after it when applied is true.
	fault func(ctx *fasthttp.RequestCtx, applied bool) bool
}

func newStore() *store {
	return &store{values: make(map[string][]byte), versions: make(map[string]uint64)}
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *store) setFault(fault func(ctx *fasthttp.RequestCtx, applied bool) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *store) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.fault != nil && s.fault(ctx, false) {
		return
	}
	path := string(ctx.Path())
	switch {
	case path == vrplatform.PathVMs:
		ctx.SetBodyString(`{"vms":[{"id":"vm-1","kind":"daemon","zone":"tw-north-a","address":"127.0.0.1:1","state":"live","new":1}]}`)
	case path == vrplatform.PathList, path == vrplatform.PathWatch:
		ctx.SetBodyString(`{"revision":7,"items":[{"key":"` + string(ctx.QueryArgs().Peek("prefix")) + `1","version":7,"value":"eA=="}]}`)
	case ctx.IsPut():
		s.put(ctx, strings.TrimPrefix(path, vrplatform.PathObjects))
	default:
		s.get(ctx, strings.TrimPrefix(path, vrplatform.PathObjects))
	}
	if s.fault != nil {
		s.fault(ctx, true)
	}
}

func (s *store) put(ctx *fasthttp.RequestCtx, key string) {
	want, err := strconv.ParseUint(string(ctx.Request.Header.Peek(vrplatform.HeaderIfVersion)), 10, 64)
	if err != nil || want != s.versions[key] {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	} else {
		s.set(key, string(ctx.PostBody()))
	}
	ctx.Response.Header.Set(vrplatform.HeaderVersion, strconv.FormatUint(s.versions[key], 10))
}

func (s *store) set(key, value string) {
	s.revision++
	s.versions[key] = s.revision
	s.values[key] = []byte(value)
}

func (s *store) get(ctx *fasthttp.RequestCtx, key string) {
	if s.versions[key] == 0 {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set(vrplatform.HeaderVersion, strconv.FormatUint(s.versions[key], 10))
	ctx.SetBody(s.values[key])
}

func platform(t testing.TB, address string, options vrclient.PlatformOptions) *vrclient.Platform {
	options.BaseURL = "http://" + address
	options.Rate = max(options.Rate, 10_000)
	options.Backoff = max(options.Backoff, 1)
	client, err := vrclient.NewPlatform(options)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

const _requestID = vrid.RequestID("01J0")
