package vrserve

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	_logBuffer = 256 << 10
	_logFlush  = 200 * time.Millisecond
)

// NewLog writes JSON lines. Lines are buffered, because effects are logged under the
// runtime's lock; flush writes what is left.
func NewLog(out io.Writer) (log *zap.Logger, flush func()) {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.TimeKey = "time"
	config.MessageKey = "message"
	sink := &zapcore.BufferedWriteSyncer{WS: zapcore.AddSync(out), Size: _logBuffer, FlushInterval: _logFlush}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, zapcore.InfoLevel)
	return zap.New(core), func() { _ = sink.Stop() }
}
