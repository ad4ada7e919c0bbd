package vrquery

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// Yes and No are the values of boolean columns and attributes.
const (
	Yes = "yes"
	No  = "no"
)

// _byteUnits lists the units of byte amounts. A unit that is a suffix of another one comes
// after it.
var _byteUnits = []struct {
	name  string
	bytes vrid.Bytes
}{
	{"TiB", 1 << 40},
	{"GiB", vrid.GiB},
	{"MiB", vrid.MiB},
	{"KiB", vrid.KiB},
	{"B", 1},
}

func parseBytes(value Value) (vrid.Bytes, error) {
	for _, unit := range _byteUnits {
		number, found := strings.CutSuffix(value.Text, unit.name)
		if !found {
			continue
		}
		amount, err := strconv.ParseFloat(number, 64)
		if err != nil || amount < 0 || amount*float64(unit.bytes) >= math.MaxInt64 {
			break
		}
		return vrid.Bytes(amount * float64(unit.bytes)), nil
	}
	return 0, expectedError(value, "an amount with its unit, for example 14GiB or 300MiB")
}

// formatBytes formats an amount in the largest unit that does not exceed it.
func formatBytes(amount vrid.Bytes) string {
	for _, unit := range _byteUnits {
		if amount >= unit.bytes {
			number := float64(amount) / float64(unit.bytes)
			return strconv.FormatFloat(number, 'f', -1, 64) + unit.name
		}
	}
	return "0B"
}

// parseDuration parses a duration that is not negative. Unlike time.ParseDuration it accepts
// days, which come first, for example 1d12h.
func parseDuration(value Value) (vrid.Duration, error) {
	text, days := value.Text, time.Duration(0)
	if before, after, found := strings.Cut(text, "d"); found {
		count, err := strconv.ParseUint(before, 10, 16)
		if err != nil {
			return 0, expectedError(value, "a time, for example 900ms, 1.5s, 2h or 3d")
		}
		const hoursPerDay = 24
		text, days = after, time.Duration(count)*hoursPerDay*time.Hour
	}
	if text == "" && days > 0 {
		return vrid.Duration(days), nil
	}
	rest, err := time.ParseDuration(text)
	if err != nil || rest < 0 {
		return 0, expectedError(value, "a time, for example 900ms, 1.5s, 2h or 3d")
	}
	return vrid.Duration(days + rest), nil
}

// parseTime parses a time, a date or a duration before now.
func parseTime(value Value, now time.Time) (time.Time, error) {
	if parsed, err := time.Parse(time.RFC3339, value.Text); err == nil {
		return parsed, nil
	}
	if parsed, err := time.ParseInLocation("2006-01-02", value.Text, now.Location()); err == nil {
		return parsed, nil
	}
	ago, err := parseDuration(value)
	if err != nil {
		return time.Time{}, expectedError(value, "a time before now such as 2h or 3d, a date such as 2026-01-31 or a time such as 2026-01-31T08:00:00Z")
	}
	return now.Add(-ago.Std()), nil
}

func parseCount(value Value) (int, error) {
	const bits = 31
	count, err := strconv.ParseUint(value.Text, 10, bits)
	if err != nil {
		return 0, expectedError(value, "a whole number")
	}
	return int(count), nil
}

func parseNumber(value Value) (float64, error) {
	number, err := strconv.ParseFloat(value.Text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, expectedError(value, "a number")
	}
	return number, nil
}

func parseBool(value Value) (bool, error) {
	switch value.Text {
	case Yes, "true":
		return true, nil
	case No, "false":
		return false, nil
	}
	return false, expectedError(value, "yes or no")
}

func parseRank(value Value) (vrid.Rank, error) {
	rank, err := vrid.ParseRank(value.Text)
	if err != nil {
		return 0, expectedError(value, "urgent, normal or deferred")
	}
	return rank, nil
}

func formatBool(value bool) string {
	if value {
		return Yes
	}
	return No
}

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'g', -1, 64) }

func joinIDs[T ~string](ids []T) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = string(id)
	}
	return strings.Join(texts, ", ")
}

// ParseTime parses a time as the clauses since and until do, for example "24h" or
// "2026-01-31".
func ParseTime(text string, now time.Time) (time.Time, error) {
	parsed, err := parseTime(Value{Text: text}, now)
	if err != nil {
		return parsed, &SyntaxError{Text: text, Line: 1, Column: 1, Found: text, Expected: func() *valueError {
			valueErr := &valueError{}
			_ = errors.As(err, &valueErr)
			return valueErr
		}().expected}
	}
	return parsed, nil
}
