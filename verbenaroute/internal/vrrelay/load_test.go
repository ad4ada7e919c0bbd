package vrrelay

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
)

// parseTestLoad parses the header by which the test servers state their running requests, or nil.
func parseTestLoad(text string) *vrevent.ServerLoad {
	running, err := strconv.Atoi(text)
	if err != nil {
		return nil
	}
	return &vrevent.ServerLoad{Running: running, Pace: 250}
}

func (p *testProxy) loadReports() []vrevent.LoadReported {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]vrevent.LoadReported(nil), p.loads...)
}

// Guards against a load that is known only when its stream ends, seconds after the server has stated it.
func TestLoadIsReportedAtTheHeadOfAStream(t *testing.T) {
	var p *testProxy
	reported := make(chan bool, 1)
	p = newTestProxy(t, vrevent.SendCall{Stream: true, Born: 7, Deadline: time.Now().Add(time.Minute)},
		startServer(t, func(request *http.Request, c net.Conn) {
			replyWith(streamHead+"X-Load: 9\r\n"+chunkedLine+chunkedBody(eventOne))(request, c)
			deadline := time.Now().Add(30 * time.Second)
			for len(p.loadReports()) == 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			reported <- len(p.loadReports()) > 0
			_, _ = io.WriteString(c, chunkedTail)
		}))
	_, _, err := p.post("x")
	require.NoError(t, err)
	require.True(t, <-reported)
	require.Equal(t, []vrevent.LoadReported{{Server: "i-0", Born: 7, Load: vrevent.ServerLoad{Running: 9, Pace: 250}}}, p.loadReports())
}

// Guards against the load of another server that has taken over an address, and against a refusal whose load
// is lost although it says best that the server is full.
func TestLoadOfRefusals(t *testing.T) {
	for name, test := range map[string]struct {
		reply string
		want  int
	}{
		"full":           {"HTTP/1.1 503 Full\r\nX-Request: ID\r\nX-Not-Run: 1\r\nX-Load: 4\r\nContent-Length: 0\r\n\r\n", 1},
		"another server": {"HTTP/1.1 421 Misdirected\r\nX-Request: ID\r\nX-Server: i-9\r\nX-Load: 4\r\nContent-Length: 0\r\n\r\n", 0},
		"not stated":     {success, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestProxy(t, vrevent.SendCall{AtMostOnce: true}, startServer(t, replyWith(test.reply)))
			_, _, err := p.post("x")
			require.NoError(t, err)
			require.Len(t, p.loadReports(), test.want)
		})
	}
}
