package node

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// defaultLevel is the level of a log whose settings name none.
const defaultLevel = "info"

// NewLog returns a log that writes one line of key=value pairs for each event.
func NewLog(w io.Writer, level string) (*zap.Logger, error) {
	if level == "" {
		level = defaultLevel
	}
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}
