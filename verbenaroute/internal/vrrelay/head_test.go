package vrrelay

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
)

// Guards against a server that closes in the middle of its answer's head: the client got a 200 with an empty
// or short body that was framed as whole. Here the head is cut at each byte on a connection that has brought
// an answer before.
func TestCutHeadOnKeptConnectionIsNoSuccess(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\n" + signedHeaders + "Content-Length: 2\r\n\r\n"
	for length := range len(whole) + 1 {
		p := newTestProxy(t, vrevent.SendCall{AtMostOnce: true}, startServerWithReuse(t, []string{whole + "ok", whole[:length]}))
		p.send.Server = "i-0"
		_, received, err := p.postAs("r1", "x")
		require.NoError(t, err)
		require.Equal(t, "ok", received)
		p.mu.Lock()
		p.ended = nil
		p.mu.Unlock()
		response, _, err := p.postAs("r2", "x")
		if err == nil {
			require.GreaterOrEqual(t, response.status, http.StatusInternalServerError, "cut after %d bytes", length)
		}
	}
}

// Guards against a resumed stream that ends as complete because the head of the server that was to go on
// with it is cut.
func TestCutHeadOfResumedStreamIsNoEnd(t *testing.T) {
	for _, framing := range []string{chunkedLine, "Content-Length: 40\r\n\r\n", "\r\n"} {
		whole := streamHead + framing
		var answers []resumeAnswer
		for length := range len(whole) + 1 {
			answers = append(answers, resumeAnswer{name: fmt.Sprint(length, " bytes"), reply: whole[:length]})
		}
		testResumeAnswers(t, answers)
	}
}
