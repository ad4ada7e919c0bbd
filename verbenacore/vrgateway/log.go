package vrgateway

import (
	"strconv"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
)

func number(name string, value uint64) vrevent.LogField {
	return vrevent.LogField{Name: name, Value: strconv.FormatUint(value, 10)}
}

func millis(name string, value time.Duration) vrevent.LogField {
	return vrevent.LogField{Name: name, Value: strconv.FormatInt(value.Milliseconds(), 10)}
}

func text[T ~string](name string, value T) vrevent.LogField {
	return vrevent.LogField{Name: name, Value: string(value)}
}

func decimal(name string, value float64) vrevent.LogField {
	const digits, bits = 3, 64
	return vrevent.LogField{Name: name, Value: strconv.FormatFloat(value, 'g', digits, bits)}
}
