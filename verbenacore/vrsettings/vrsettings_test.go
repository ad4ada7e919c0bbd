package vrsettings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrsettings"
)

const _validSettings = `{
  // The first entry VM of the zone.
  "daemon": "vm-1",
  "zone": "tw-north-a",
  "callers": "10.0.0.1:8080",
  "operators": "10.0.0.1:8081",
  "peers": "[fd00::1]:8082",
  "platform": "https://10.0.0.9:443",
  "seeds": [{"daemon": "vm-2", "address": "10.0.0.2:8082"}],
  "peerTls": {"certificate": "peer.pem", "key": "peer.key", "authority": "ca.pem"},
  "limits": {"queue": 500},
  "shutdownGrace": "12s",
}`

func invalidFields(t *testing.T, document string) []string {
	_, err := vrsettings.Parse([]byte(document))
	var validation *vrconfig.ValidationError
	require.ErrorAs(t, err, &validation)
	lines := make([]string, len(validation.Fields))
	for i, field := range validation.Fields {
		lines[i] = field.Error()
	}
	return lines
}

// Guards against limits of zero, which would refuse every request.
func TestParseFillsDefaults(t *testing.T) {
	settings, err := vrsettings.Parse([]byte(_validSettings))
	require.NoError(t, err)
	require.Equal(t, vrsettings.Limits{
		Body: vrsettings.DefaultBody, Queue: 500, QueueMemory: vrsettings.DefaultQueueMemory,
		PlatformCallRate: 50, PlatformConcurrency: 4,
	}, settings.Limits)
	require.Equal(t, "12s", settings.ShutdownGrace.String())
	require.EqualValues(t, "vm-2", settings.Seeds[0].Daemon)
}

// Guards against reporting only the first invalid field, which would make the operator
// start the daemon once for each of them.
func TestParseReportsEveryInvalidField(t *testing.T) {
	document := `{
  "daemon": "vm-1", "daemon": "vm-2",
  "callers": "localhost:8080",
  "operators": 7,
  "peers": "0.0.0.0:8082",
  "platform": "https://platform.example/v1",
  "insecurePeers": true,
  "seeds": [{"daemon": "", "port": "x"}, "10.0.0.2:1"],
  "limits": {"queue": "many", "body": -1},
  "operatorTokens": [{"operator": "aki", "tokenHash": "abc", "role": "root"}],
  "shutdownGrace": "30",
}`
	require.Equal(t, strings.Split(strings.TrimSpace(`
2:21: daemon: found a duplicate field, allowed: each field once
4:16: operators: found 7, allowed: text
8:28: seeds[0].port: found an unknown field, allowed: one of daemon, address
8:42: seeds[1]: found "10.0.0.2:1", allowed: an object
9:23: limits.queue: found "many", allowed: a whole number
11:20: shutdownGrace: found "30", allowed: a duration such as "1.5s"
zone: found nothing, allowed: an availability zone
3:14: callers: found "localhost:8080", allowed: an IP address with a port, for example 10.0.0.1:8080
8:24: seeds[0].daemon: found "", allowed: a unique daemon id
seeds[0].address: found "", allowed: an IP address with a port, for example 10.0.0.1:8080
seeds[1].daemon: found "", allowed: a unique daemon id
seeds[1].address: found "", allowed: an IP address with a port, for example 10.0.0.1:8080
6:15: platform: found "https://platform.example/v1", allowed: http:// or https:// with an IP address and a port, for example http://10.0.0.1:8080
7:20: insecurePeers: found true, allowed: true only when peers is a loopback address
10:55: operatorTokens[0].tokenHash: found a malformed hash, allowed: 64 hex digits
10:70: operatorTokens[0].role: found "root", allowed: read or command
9:39: limits.body: found -1, allowed: 0 or more bytes
`), "\n"), invalidFields(t, document))
}

// Guards against errors without a position for files that can't be parsed.
func TestParseSyntax(t *testing.T) {
	cases := []struct{ name, document, prefix string }{
		{"syntax", "{\n  \"daemon\": oops\n}", "2:13: file: found "},
		{"empty", "", "1:1: file: found "},
		{"not an object", "[]", "1:1: file: found [], allowed: an object"},
		{"second document", "{}\n{}", "2:1: file: found "},
		{"too large", strings.Repeat(" ", vrsettings.MaxFileBytes+1), "file: found more than"},
		{"mutual TLS is required", strings.Replace(_validSettings, `"key": "peer.key"`, `"key": ""`, 1), `10:49: peerTls.key: found nothing`},
		{"half a pair", strings.Replace(_validSettings, `"limits"`, `"callerTls": {"key": "k"}, "limits"`, 1), `callerTls.certificate: found nothing`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.True(t, strings.HasPrefix(invalidFields(t, c.document)[0], c.prefix), invalidFields(t, c.document)[0])
		})
	}
}

// Guards against an error that doesn't name the file.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "daemon.json")
	_, err := vrsettings.Load(path)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, os.WriteFile(path, []byte(_validSettings), 0o600))
	_, err = vrsettings.Load(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, []byte(`{"zonw": 1}`), 0o600))
	_, err = vrsettings.Load(path)
	require.ErrorContains(t, err, path)
	require.ErrorContains(t, err, "1:2: zonw: found an unknown field")
}

// FuzzParse guards against a file that crashes the parser, and against settings that Parse
// accepts although Validate refuses them.
func FuzzParse(f *testing.F) {
	f.Add([]byte(_validSettings))
	f.Add([]byte(`{"limits": {"queue": 1e9}, "seeds": [null, {}], "a": [[[]]]}`))
	f.Add([]byte("{/*"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := vrsettings.Parse(data)
		if err != nil {
			var validation *vrconfig.ValidationError
			require.True(t, errors.As(err, &validation))
			return
		}
		require.NoError(t, settings.Validate())
	})
}
