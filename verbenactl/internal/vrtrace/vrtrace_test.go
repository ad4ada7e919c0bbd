package vrtrace_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrgateway"

	"verbenaroute.example/verbenactl/internal/vrtrace"
)

var update = flag.Bool("update", false, "write the golden files")

// testLogs names the test logs and the suffix of the golden files of each. The first is the log of
// a run of a former build. The second is the same log with the present messages in it.
var testLogs = []struct{ file, goldenSuffix string }{
	{"gateways.log", ""},
	{"gateways_current.log", "_current"},
}

// readTestLog returns a log in testdata.
func readTestLog(t *testing.T, name string) *vrtrace.Log {
	file, err := os.Open(filepath.Join("testdata", name))
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	log := &vrtrace.Log{}
	require.NoError(t, log.Add(name, file))
	return log
}

// Checks the explanations of three failed requests in the log of a run: a refused one, one
// whose outcome is unknown and a stream that broke midway.
func TestExplainGolden(t *testing.T) {
	for name, request := range map[string]string{
		"broken":  "2d17ab81c2ec711a",
		"refused": "bc970d88c5b609c8",
		"unknown": "7c989c07c3b8c6e3",
	} {
		for _, log := range testLogs {
			t.Run(name+log.goldenSuffix, func(t *testing.T) {
				explanation, err := readTestLog(t, log.file).Explain(request)
				require.NoError(t, err)
				var out bytes.Buffer
				require.NoError(t, explanation.Write(&out))
				path := filepath.Join("testdata", name+log.goldenSuffix+".golden")
				if *update {
					require.NoError(t, os.WriteFile(path, out.Bytes(), 0o600))
				}
				want, err := os.ReadFile(path)
				require.NoError(t, err)
				require.Equal(t, string(want), out.String())
			})
		}
	}
}

// Guards against a former message that is no longer interpreted, or that is printed as its
// present one.
func TestFormerMessagesAreInterpretedAsPresentOnes(t *testing.T) {
	for former, present := range map[string]string{
		"catalog in force": "catalog adopted",
		"gateway starts":   "gateway starting",
		"gateway stops":    "gateway stopping",
		"order":            "order issued",
		"server gone":      "server removed",
		"server seen":      "server registration changed",
		"server set aside": "server ejected",
		"store back":       "store available again",
		"store lost":       "store unavailable",
	} {
		for _, message := range []string{former, present} {
			explanation := explainWith(t, message, "call queued")
			require.Len(t, explanation.Context, 1, message)
			require.Equal(t, message, explanation.Context[0].Message)
		}
	}
	for _, message := range []string{"wait", "call queued"} {
		explanation := explainWith(t, "daemon count changed", message)
		require.Empty(t, explanation.Context)
		require.Equal(t, message, explanation.Steps[0].Message)
		require.Equal(t, "it waited for model m and was refused with noReplica after 2000 ms", explanation.Cause)
	}
}

// explainWith explains a refused request whose first line has the message first, with one line of
// its daemon, server and model in between that has the message between.
func explainWith(t *testing.T, between, first string) *vrtrace.Explanation {
	const format = `{"time":"2026-07-27T21:04:4%d.5Z","message":%q,"request":%q,"server":"s","model":"m","for":"model","reason":"noReplica","tookMs":"2000"}` + "\n"
	log := &vrtrace.Log{}
	require.NoError(t, log.Add("edge-1", strings.NewReader(fmt.Sprintf(format, 1, first, "r")+
		fmt.Sprintf(format, 2, between, "")+fmt.Sprintf(format, 3, "call ended", "r"))))
	require.Zero(t, log.Unreadable)
	explanation, err := log.Explain("r")
	require.NoError(t, err)
	require.Len(t, explanation.Steps, 2)
	return explanation
}

// Guards against a truncated line hiding the other lines. An unknown id gives a NotFoundError.
func TestTruncatedLineAndUnknownRequest(t *testing.T) {
	for _, testLog := range testLogs {
		log := readTestLog(t, testLog.file)
		require.Equal(t, 1, log.Unreadable)
		_, err := log.Explain("nobody")
		var notFound *vrtrace.NotFoundError
		require.True(t, errors.As(err, &notFound))
	}
}

// Guards against an interpreted message that no gateway logs, because it was reworded only there.
// After a change of vrnode alone, go test may print a cached result: TestEndToEnd of vrnode
// checks the messages that are logged there.
func TestInterpretedMessagesAreLogged(t *testing.T) {
	// go test watches no files of other modules. The reference links the messages of vrgateway into
	// the test, so that a result from before a change of them is not reused.
	require.NotNil(t, (*vrgateway.State).Reduce)
	logged := make(map[string]bool)
	for _, dir := range []string{"../../../verbenacore/vrgateway", "../../../verbenaroute/internal/vrnode"} {
		for _, node := range parseSources(t, filepath.Join(dir, "*.go")) {
			call, ok := node.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				continue
			}
			method, ok := call.Fun.(*ast.SelectorExpr)
			if ok && slices.Contains([]string{"Info", "Warn", "Error"}, method.Sel.Name) {
				if message, ok := textOf(call.Args[0]); ok {
					logged[message] = true
				}
			}
		}
	}
	var interpreted []string
	for _, node := range parseSources(t, "vrtrace.go") {
		statement, ok := node.(*ast.SwitchStmt)
		if !ok {
			continue
		}
		tag, ok := statement.Tag.(*ast.CallExpr)
		if !ok {
			continue
		}
		method, ok := tag.Fun.(*ast.SelectorExpr)
		if !ok || method.Sel.Name != "currentMessage" {
			continue
		}
		for _, clause := range statement.Body.List {
			for _, expression := range clause.(*ast.CaseClause).List {
				message, ok := textOf(expression)
				require.True(t, ok, "a case of a switch over messages is not a string literal")
				interpreted = append(interpreted, message)
			}
		}
	}
	require.Contains(t, interpreted, "call ended")
	require.Contains(t, interpreted, "lease acquired")
	for _, message := range interpreted {
		require.True(t, logged[message], "no gateway logs %q", message)
	}
}

// parseSources returns the syntax tree nodes of the files that match a pattern, without tests.
func parseSources(t *testing.T, pattern string) []ast.Node {
	paths, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	var nodes []ast.Node
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		ast.Inspect(file, func(node ast.Node) bool {
			nodes = append(nodes, node)
			return true
		})
	}
	return nodes
}

// textOf returns the value of a string literal.
func textOf(expression ast.Expr) (text string, ok bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}
