package vrreducer_test

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const modulePrefix = "verbenaroute.example/verbenacore/"

// importsOf returns the import paths of the non-test files of a package of this module.
func importsOf(t *testing.T, name string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", name, "*.go"))
	require.NoError(t, err)
	var paths []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		require.NoError(t, err)
		for _, spec := range parsed.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			require.NoError(t, err)
			paths = append(paths, path)
		}
	}
	return paths
}

// TestDecisionsDoNoIO guards against a decision that depends on anything but its event:
// no package that the reducer or the gateway imports may itself import I/O or the
// process environment.
func TestDecisionsDoNoIO(t *testing.T) {
	forbidden := []string{"net", "net/http", "os", "os/exec", "syscall", "io/fs", "github.com/valyala/fasthttp"}
	// vrsettings reads the settings file, but the reducer uses only its types.
	exempt := map[string]bool{"vrsettings": true}
	pending := []string{"vrreducer", "vrgateway"}
	seen := map[string]bool{}
	for len(pending) > 0 {
		name := pending[0]
		pending = pending[1:]
		if seen[name] || exempt[name] {
			continue
		}
		seen[name] = true
		for _, path := range importsOf(t, name) {
			require.NotContains(t, forbidden, path, "package %s", name)
			if inner, ok := strings.CutPrefix(path, modulePrefix); ok {
				pending = append(pending, inner)
			}
		}
	}
	require.Greater(t, len(seen), 10)
}
