package vrquery

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// Yes and No are the values of columns and attributes that hold a truth value.
const (
	Yes = "yes"
	No  = "no"
)

// _units lists the units of bytes, the longest name first where one ends another.
var _units = []struct {
	name  string
	bytes vrid.Bytes
}{
	{"TiB", 1 << 40},
	{"GiB", vrid.GiB},
	{"MiB", vrid.MiB},
	{"KiB", vrid.KiB},
	{"B", 1},
}

func bytesOf(value Value) (vrid.Bytes, error) {
	for _, unit := range _units {
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
	return 0, expect(value, "an amount with its unit, for example 14GiB or 300MiB")
}

// formatBytes writes an amount in the largest unit that gives a short number.
func formatBytes(amount vrid.Bytes) string {
	for _, unit := range _units {
		if amount >= unit.bytes {
			number := float64(amount) / float64(unit.bytes)
			return strconv.FormatFloat(number, 'f', -1, 64) + unit.name
		}
	}
	return "0B"
}

func durationOf(value Value) (vrid.Duration, error) {
	text, days := value.Text, time.Duration(0)
	if before, after, found := strings.Cut(text, "d"); found {
		count, err := strconv.ParseUint(before, 10, 16)
		if err != nil {
			return 0, expect(value, "a time, for example 900ms, 1.5s, 2h or 3d")
		}
		const hoursOfDay = 24
		text, days = after, time.Duration(count)*hoursOfDay*time.Hour
	}
	if text == "" && days > 0 {
		return vrid.Duration(days), nil
	}
	rest, err := time.ParseDuration(text)
	if err != nil || rest < 0 {
		return 0, expect(value, "a time, for example 900ms, 1.5s, 2h or 3d")
	}
	return vrid.Duration(days + rest), nil
}

// timeOf reads a point in time, or a time before now.
func timeOf(value Value, now time.Time) (time.Time, error) {
	if at, err := time.Parse(time.RFC3339, value.Text); err == nil {
		return at, nil
	}
	if at, err := time.ParseInLocation("2006-01-02", value.Text, now.Location()); err == nil {
		return at, nil
	}
	ago, err := durationOf(value)
	if err != nil {
		return time.Time{}, expect(value, "a time before now such as 2h or 3d, a date such as 2026-01-31 or a time such as 2026-01-31T08:00:00Z")
	}
	return now.Add(-ago.Std()), nil
}

func countOf(value Value) (int, error) {
	const bits = 31
	count, err := strconv.ParseUint(value.Text, 10, bits)
	if err != nil {
		return 0, expect(value, "a whole number")
	}
	return int(count), nil
}

func numberOf(value Value) (float64, error) {
	number, err := strconv.ParseFloat(value.Text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, expect(value, "a number")
	}
	return number, nil
}

func truthOf(value Value) (bool, error) {
	switch value.Text {
	case Yes, "true":
		return true, nil
	case No, "false":
		return false, nil
	}
	return false, expect(value, "yes or no")
}

func rankOf(value Value) (vrid.Rank, error) {
	rank, err := vrid.ParseRank(value.Text)
	if err != nil {
		return 0, expect(value, "urgent, normal or deferred")
	}
	return rank, nil
}

func yesNo(truth bool) string {
	if truth {
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

// ParseTime reads a point in time as since and until do, for example "24h" or
// "2026-01-31".
func ParseTime(text string, now time.Time) (time.Time, error) {
	at, err := timeOf(Value{Text: text}, now)
	if err != nil {
		return at, &SyntaxError{Text: text, Line: 1, Column: 1, Found: text, Expected: func() *valueError {
			target := &valueError{}
			_ = errors.As(err, &target)
			return target
		}().expected}
	}
	return at, nil
}
