package vrid

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as text in JSON, for example "1.5s".
type Duration time.Duration

// Std returns the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the text form, for example "1.5s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes the text form.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the text form.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: write a number with its unit, for example 1.5s or 200ms", text)
	}
	*d = Duration(value)
	return nil
}
