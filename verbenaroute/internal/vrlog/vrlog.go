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
	_logBufferSize    = 256 << 10
	_logFlushInterval = 200 * time.Millisecond
)

// New returns a logger that writes JSON lines. Lines are buffered, because effects are logged
// under the runtime's lock; flush writes the buffer and stops the background flushing.
func New(out io.Writer) (log *zap.Logger, flush func()) {
	sink := &zapcore.BufferedWriteSyncer{WS: zapcore.AddSync(out), Size: _logBufferSize, FlushInterval: _logFlushInterval}
	return zap.New(newCore(sink)), func() { _ = sink.Stop() }
}

// NewBoundedLogger returns a logger that writes JSON lines to an output that may block. Logging
// never blocks; lines that don't fit are dropped and counted.
func NewBoundedLogger(out *BoundedWriter) *zap.Logger { return zap.New(newCore(out)) }

func newCore(output zapcore.WriteSyncer) zapcore.Core {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.TimeKey = "time"
	config.MessageKey = "message"
	return zapcore.NewCore(zapcore.NewJSONEncoder(config), output, zapcore.InfoLevel)
}

// Error returns a field with an error and the type of its innermost cause, for example
// "*net.OpError", so that logs can be searched by kind of failure.
func Error(err error) zap.Field {
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(encoder zapcore.ObjectEncoder) error {
		encoder.AddString("error", err.Error())
		encoder.AddString("errorType", fmt.Sprintf("%T", rootCause(err)))
		return nil
	}))
}

// rootCause returns the innermost wrapped error.
func rootCause(err error) error {
	for {
		cause := errors.Unwrap(err)
		if cause == nil {
			return err
		}
		err = cause
	}
}
