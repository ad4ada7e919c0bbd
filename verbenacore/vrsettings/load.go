package vrsettings

import (
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"

	"github.com/tailscale/hujson"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrconfig"
)

// MaxFile is the largest settings file in bytes. It bounds the recursion of the
// parser, which has no limit of its own; a file with 200 seeds has about 20 KB.
const MaxFile = 256 << 10

// Document is a kind of settings file.
type Document[T any] interface {
	*T
	// WithDefaults returns a copy in which every value that is zero has its default.
	WithDefaults() *T
	// Validate reports every mistake at once.
	Validate() error
}

// Load reads and checks a daemon's settings file.
func Load(path string) (*Settings, error) { return load[Settings](path) }

// LoadGateway reads and checks a gateway's settings file.
func LoadGateway(path string) (*Gateway, error) { return load[Gateway](path) }

func load[T any, P Document[T]](path string) (*T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, MaxFile+1))
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	settings, err := parse[T, P](data)
	if err != nil {
		return nil, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return settings, nil
}

// Parse reads settings, fills in the defaults and reports every mistake at once as a
// *vrconfig.CheckError.
func Parse(data []byte) (*Settings, error) { return parse[Settings](data) }

// ParseGateway does the same for a gateway's settings.
func ParseGateway(data []byte) (*Gateway, error) { return parse[Gateway](data) }

func parse[T any, P Document[T]](data []byte) (*T, error) {
	checker := &vrconfig.Checker{}
	if len(data) > MaxFile {
		checker.Require(false, "file", fmt.Sprintf("more than %d bytes", MaxFile), fmt.Sprintf("at most %d bytes", MaxFile))
		return nil, checker.Err()
	}
	document, err := hujson.Parse(data)
	if err != nil {
		checker.Add(syntaxMistake(err))
		return nil, checker.Err()
	}
	scanner := newScanner(data)
	scanner.scan(&document, reflect.TypeFor[T](), "")
	document.Standardize()
	settings := new(T)
	if err := vrcodec.DecodeStrictJSON(document.Pack(), settings); err != nil {
		scanner.add("file", 0, err.Error(), "a settings document")
	}
	settings = P(settings).WithDefaults()
	return settings, scanner.merge(P(settings).Validate())
}

// syntaxMistake takes the place from the parser's text, because the parser has no
// error type with fields.
func syntaxMistake(err error) *vrconfig.FieldError {
	mistake := &vrconfig.FieldError{Field: "file", Found: err.Error(), Allowed: "JSON with comments and trailing commas"}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return mistake
	}
	mistake.Line, mistake.Column = line, column
	if cause := errors.Unwrap(err); cause != nil {
		mistake.Found = cause.Error()
	}
	return mistake
}
