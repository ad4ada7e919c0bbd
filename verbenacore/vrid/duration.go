package vrid

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text in JSON, for example "1.5s".
type Duration time.Duration

// Std converts d to the standard library's time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d as time.Duration does, for example "1.5s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("invalid duration %q: write a number with its unit, for example 1.5s or 200ms", text)
	}
	*d = Duration(parsed)
	return nil
}
