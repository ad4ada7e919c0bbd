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

// MaxFileBytes is the maximum size of a settings file in bytes. It limits the recursion
// depth of the parser, which has no limit of its own; a file with 200 seeds has about 20 KB.
const MaxFileBytes = 256 << 10

// Document is implemented by the types that a settings file is decoded into.
type Document[T any] interface {
	*T
	// WithDefaults returns a copy in which every zero value that has a default is set to
	// it.
	WithDefaults() *T
	// Validate reports every invalid field at once.
	Validate() error
}

// Load reads and validates a daemon's settings file.
func Load(path string) (*Settings, error) { return load(path, Parse) }

// LoadGateway reads and validates a gateway's settings file. Fields that the file leaves out may come from the
// environment.
func LoadGateway(path string, environment Environment) (*Gateway, error) {
	return load(path, func(data []byte) (*Gateway, error) { return ParseGateway(data, environment) })
}

func load[T any](path string, parse func([]byte) (*T, error)) (*T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	settings, err := parse(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return settings, nil
}

// Parse decodes a daemon's settings, fills in the defaults and reports every invalid field
// at once in a *vrconfig.ValidationError.
func Parse(data []byte) (*Settings, error) { return parse(data, func(*Settings) error { return nil }) }

// ParseGateway decodes a gateway's settings in the same way as Parse. Fields that they leave out may come from the
// environment.
func ParseGateway(data []byte, environment Environment) (*Gateway, error) {
	return parse(data, func(g *Gateway) error { return g.fillFrom(environment) })
}

// parse decodes a document. fill sets further fields before the defaults are filled in.
func parse[T any, P Document[T]](data []byte, fill func(P) error) (*T, error) {
	checker := &vrconfig.Checker{}
	if len(data) > MaxFileBytes {
		checker.Require(false, "file", fmt.Sprintf("more than %d bytes", MaxFileBytes), fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return nil, checker.Err()
	}
	document, err := hujson.Parse(data)
	if err != nil {
		checker.Add(syntaxFieldError(err))
		return nil, checker.Err()
	}
	scanner := newScanner(data)
	scanner.scan(&document, reflect.TypeFor[T](), "")
	document.Standardize()
	settings := new(T)
	if err := vrcodec.DecodeStrictJSON(document.Pack(), settings); err != nil {
		scanner.add("file", 0, err.Error(), "a settings document")
	}
	fillErr := fill(settings)
	settings = P(settings).WithDefaults()
	checker.Merge(scanner.mergeValidation(P(settings).Validate()))
	checker.Merge(fillErr)
	return settings, checker.Err()
}

// syntaxFieldError converts an error of the parser. It extracts the position from the
// error's text, because the parser's errors have no field for it.
func syntaxFieldError(err error) *vrconfig.FieldError {
	fieldErr := &vrconfig.FieldError{Field: "file", Found: err.Error(), Allowed: "JSON with comments and trailing commas"}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return fieldErr
	}
	fieldErr.Line, fieldErr.Column = line, column
	if cause := errors.Unwrap(err); cause != nil {
		fieldErr.Found = cause.Error()
	}
	return fieldErr
}
