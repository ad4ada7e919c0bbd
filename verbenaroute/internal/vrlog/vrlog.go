// Package vrlog writes the daemon's log as JSON lines.
package vrlog

import (
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	_logBuffer = 256 << 10
	_logFlush  = 200 * time.Millisecond
)

// New writes JSON lines. Lines are buffered, because effects are logged under the
// runtime's lock; flush writes what is left.
func New(out io.Writer) (log *zap.Logger, flush func()) {
	sink := &zapcore.BufferedWriteSyncer{WS: zapcore.AddSync(out), Size: _logBuffer, FlushInterval: _logFlush}
	return zap.New(newCore(sink)), func() { _ = sink.Stop() }
}

// NewBoundedLogger writes JSON lines to an output that may not take them: who logs is never held
// up, and lines that don't fit are dropped and counted.
func NewBoundedLogger(out *Bounded) *zap.Logger { return zap.New(newCore(out)) }

func newCore(sink zapcore.WriteSyncer) zapcore.Core {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.TimeKey = "time"
	config.MessageKey = "message"
	return zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, zapcore.InfoLevel)
}

// Error is a field with an error and the type of its cause, for example "*net.OpError",
// so that logs can be searched by kinds of failures.
func Error(err error) zap.Field {
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(encoder zapcore.ObjectEncoder) error {
		encoder.AddString("error", err.Error())
		encoder.AddString("errorType", fmt.Sprintf("%T", causeOf(err)))
		return nil
	}))
}

func causeOf(err error) error {
	for {
		cause := errors.Unwrap(err)
		if cause == nil {
			return err
		}
		err = cause
	}
}
