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
		// fasthttp's connection cleaner ends when it finds no connection, at most 10 s later.
		goleak.IgnoreTopFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// listen serves each connection with handleConn, on loopback until the test ends, and
// returns the address.
func listen(t testing.TB, handleConn func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var goroutines sync.WaitGroup
	var mu sync.Mutex
	conns := make(map[net.Conn]bool)
	goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns[conn] = true
			mu.Unlock()
			goroutines.Go(func() {
				defer func() { _ = conn.Close() }()
				handleConn(conn)
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
		goroutines.Wait()
	})
	return listener.Addr().String()
}

// serve runs an HTTP server until the test ends and returns its address.
func serve(t testing.TB, handler fasthttp.RequestHandler) string {
	server := &fasthttp.Server{Handler: handler, StreamRequestBody: false, NoDefaultServerHeader: true}
	return listen(t, func(conn net.Conn) { _ = server.ServeConn(conn) })
}

// refusedAddress returns an address on which nothing listens.
func refusedAddress(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// pipeDial returns a dialer whose connections are pipes that handleConn serves. Unlike
// sockets, pipes work with the virtual time of synctest.
func pipeDial(handleConn func(net.Conn)) vrclient.DialFunc {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			handleConn(server)
		}()
		return client, nil
	}
}

// fakePlatform is a platform server with fault injection.
type fakePlatform struct {
	mu       sync.Mutex
	revision uint64
	values   map[string][]byte
	versions map[string]uint64
	requests int
	// fault, if set, runs before the request is handled, with applied false, and after it,
	// with applied true. If it returns true the first time, it has responded itself and the
	// request is not handled.
	fault func(ctx *fasthttp.RequestCtx, applied bool) bool
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{values: make(map[string][]byte), versions: make(map[string]uint64)}
}

func (p *fakePlatform) requestCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests
}

func (p *fakePlatform) setFault(fault func(ctx *fasthttp.RequestCtx, applied bool) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

func (p *fakePlatform) handle(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	if p.fault != nil && p.fault(ctx, false) {
		return
	}
	path := string(ctx.Path())
	switch {
	case path == vrplatform.PathVMs:
		ctx.SetBodyString(`{"vms":[{"id":"vm-1","kind":"daemon","zone":"tw-north-a","address":"127.0.0.1:1","state":"live","new":1}]}`)
	case path == vrplatform.PathList, path == vrplatform.PathWatch:
		ctx.SetBodyString(`{"revision":7,"items":[{"key":"` + string(ctx.QueryArgs().Peek("prefix")) + `1","version":7,"value":"eA=="}]}`)
	case ctx.IsPut():
		p.put(ctx, strings.TrimPrefix(path, vrplatform.PathObjects))
	default:
		p.get(ctx, strings.TrimPrefix(path, vrplatform.PathObjects))
	}
	if p.fault != nil {
		p.fault(ctx, true)
	}
}

func (p *fakePlatform) put(ctx *fasthttp.RequestCtx, key string) {
	ifVersion, err := strconv.ParseUint(string(ctx.Request.Header.Peek(vrplatform.HeaderIfVersion)), 10, 64)
	if err != nil || ifVersion != p.versions[key] {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	} else {
		p.set(key, string(ctx.PostBody()))
	}
	ctx.Response.Header.Set(vrplatform.HeaderVersion, strconv.FormatUint(p.versions[key], 10))
}

func (p *fakePlatform) set(key, value string) {
	p.revision++
	p.versions[key] = p.revision
	p.values[key] = []byte(value)
}

func (p *fakePlatform) get(ctx *fasthttp.RequestCtx, key string) {
	if p.versions[key] == 0 {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set(vrplatform.HeaderVersion, strconv.FormatUint(p.versions[key], 10))
	ctx.SetBody(p.values[key])
}

// newPlatformClient returns a client for the platform at address. So that it doesn't slow a
// test down, its rate limit is at least 10,000 calls per second and the default backoff 1 ns.
func newPlatformClient(t testing.TB, address string, options vrclient.PlatformOptions) *vrclient.Platform {
	options.BaseURL = "http://" + address
	options.Rate = max(options.Rate, 10_000)
	options.InitialBackoff = max(options.InitialBackoff, 1)
	client, err := vrclient.NewPlatform(options)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

const _requestID = vrid.RequestID("01J0")
